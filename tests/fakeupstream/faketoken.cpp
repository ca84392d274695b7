#include "faketoken.h"

#include "common/hash.h"

#include <array>

namespace cumindyke
{

std::string fakeToken(std::uint64_t promptChecksum, std::uint32_t index)
{
    static constexpr std::array<const char *, 16> Words{
        "drum", "hall", "notice", "song", "guest", "table", "cup", "lamp", "step", "robe", "bell", "feast", "scroll", "bread", "gate", "star"};
    const std::uint64_t bits = checksum(std::to_string(promptChecksum) + ":" + std::to_string(index));
    return std::string(Words[bits % Words.size()]) + " ";
}

}
