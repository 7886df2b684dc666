/** Counts the bytes that a benchmark's structures take on the heap. */
#pragma once

#include <cstddef>

namespace jackdawdoor::bench {

/** Bytes allocated with operator new and not yet freed, by the allocator's own sizes. */
std::size_t heapBytes();

} // namespace jackdawdoor::bench
