#include "proxy/compression.h"

#include <zlib.h>

#include <array>

namespace jackdawdoor::proxy {

namespace {

constexpr std::size_t maximumDecompressedBytes = std::size_t{16} * 1024 * 1024;

const Bytef *bytesOf(std::string_view text)
{
    return reinterpret_cast<const Bytef *>(text.data());
}

} // namespace

std::string compress(std::string_view bytes)
{
    uLongf size = compressBound(bytes.size());
    std::string compressed(size, '\0');
    compress2(reinterpret_cast<Bytef *>(compressed.data()), &size, bytesOf(bytes), bytes.size(), Z_BEST_SPEED);
    compressed.resize(size);
    return compressed;
}

std::optional<std::string> decompress(std::string_view compressed)
{
    z_stream stream{};
    if (inflateInit(&stream) != Z_OK) {
        return std::nullopt;
    }
    stream.next_in = const_cast<Bytef *>(bytesOf(compressed));
    stream.avail_in = static_cast<uInt>(compressed.size());
    std::string bytes;
    std::array<char, 16384> block{};
    int result = Z_OK;
    while (result == Z_OK && bytes.size() <= maximumDecompressedBytes) {
        stream.next_out = reinterpret_cast<Bytef *>(block.data());
        stream.avail_out = block.size();
        result = inflate(&stream, Z_NO_FLUSH);
        bytes.append(block.data(), block.size() - stream.avail_out);
    }
    inflateEnd(&stream);
    return result == Z_STREAM_END ? std::optional(std::move(bytes)) : std::nullopt;
}

} // namespace jackdawdoor::proxy
