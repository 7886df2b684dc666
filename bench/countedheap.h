/** Measures the heap use of a benchmark's data structures. */
#pragma once

#include <cstddef>

namespace jackdawdoor::bench {

/** Bytes allocated with operator new and not yet freed, by the allocator's usable sizes. */
std::size_t heapBytes();

} // namespace jackdawdoor::bench
