#include "common/packing.h"

#include <zlib.h>

namespace cumindyke
{

namespace
{

constexpr std::size_t SizeBytes = 4;

std::string encodeSize(std::size_t size)
{
    std::string bytes;
    for (std::size_t i = 0; i < SizeBytes; ++i) {
        bytes.push_back(static_cast<char>((size >> (8 * i)) & 0xFFU));
    }
    return bytes;
}

std::size_t decodeSize(std::string_view bytes)
{
    std::size_t size = 0;
    for (std::size_t i = 0; i < SizeBytes; ++i) {
        size |= static_cast<std::size_t>(static_cast<unsigned char>(bytes[i])) << (8 * i);
    }
    return size;
}

Error unpackError()
{
    return Error{ErrorKind::Invalid, "the packed bytes can't be unpacked: resend them from a VM of the same version"};
}

}

std::string pack(std::string_view bytes)
{
    std::string packed = encodeSize(bytes.size());
    uLongf size = compressBound(bytes.size());
    packed.resize(SizeBytes + size);
    // With a buffer of this size, compress2() fails only when out of memory, which ends the process anyway.
    compress2(reinterpret_cast<Bytef *>(packed.data() + SizeBytes), &size, reinterpret_cast<const Bytef *>(bytes.data()), bytes.size(), Z_BEST_SPEED);
    packed.resize(SizeBytes + size);
    return packed;
}

Result<std::string> unpack(std::string_view packed, std::size_t limit)
{
    if (packed.size() < SizeBytes || decodeSize(packed) > limit) {
        return unpackError();
    }
    std::string bytes(decodeSize(packed), '\0');
    uLongf size = bytes.size();
    const std::string_view stream = packed.substr(SizeBytes);
    const int status = uncompress(reinterpret_cast<Bytef *>(bytes.data()), &size, reinterpret_cast<const Bytef *>(stream.data()), stream.size());
    if (status != Z_OK || size != bytes.size()) {
        return unpackError();
    }
    return bytes;
}

}
