#include <cstdint>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <random>
#include <set>
#include <vector>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size);

namespace
{

using Input = std::vector<std::uint8_t>;

constexpr std::size_t MaxInputBytes = 4096;

std::vector<Input> readCorpus(const std::string &folder)
{
    std::set<std::filesystem::path> files;
    for (const auto &entry : std::filesystem::directory_iterator(folder)) {
        files.insert(entry.path());
    }
    std::vector<Input> corpus;
    for (const auto &path : files) {
        std::ifstream file(path, std::ios::binary);
        corpus.emplace_back(std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>());
    }
    return corpus;
}

/// Some bytes changed, removed, repeated, or taken from another input.
Input mutated(const std::vector<Input> &corpus, std::mt19937_64 &random)
{
    Input input = corpus[random() % corpus.size()];
    for (std::uint64_t change = random() % 6 + 1; change > 0 && !input.empty(); --change) {
        const std::size_t at = random() % input.size();
        const std::size_t length = std::min<std::size_t>(random() % 16, input.size() - at);
        const auto from = input.begin() + static_cast<std::ptrdiff_t>(at);
        const Input part(from, from + static_cast<std::ptrdiff_t>(length));
        const Input &other = corpus[random() % corpus.size()];
        switch (random() % 4) {
        case 0:
            input[at] = static_cast<std::uint8_t>(random());
            break;
        case 1:
            input.erase(from, from + static_cast<std::ptrdiff_t>(length));
            break;
        case 2:
            input.insert(from, part.begin(), part.end());
            break;
        default:
            input.insert(from, other.begin(), other.begin() + static_cast<std::ptrdiff_t>(std::min<std::size_t>(random() % 64, other.size())));
            break;
        }
    }
    input.resize(std::min(input.size(), MaxInputBytes));
    return input;
}

}

/// Runs a fuzz target on its kept corpus and on so many seeded mutations of it: the same inputs on every run, without the fuzzer's compiler.
/// A failing input aborts the process; its number is the last one printed.
int main(int argc, char **argv)
{
    if (argc != 3) {
        std::cerr << "usage: " << argv[0] << " CORPUS-FOLDER MUTATIONS\n";
        return 2;
    }
    const std::vector<Input> corpus = readCorpus(argv[1]);
    if (corpus.empty()) {
        std::cerr << "no corpus in " << argv[1] << "\n";
        return 2;
    }
    for (const Input &input : corpus) {
        LLVMFuzzerTestOneInput(input.data(), input.size());
    }
    const std::uint64_t count = std::strtoull(argv[2], nullptr, 10);
    for (std::uint64_t seed = 1; seed <= count; ++seed) {
        std::mt19937_64 random(seed);
        const Input input = mutated(corpus, random);
        std::cout << "mutation " << seed << "\r";
        LLVMFuzzerTestOneInput(input.data(), input.size());
    }
    std::cout << corpus.size() << " kept inputs and " << count << " mutations, no failure\n";
    return 0;
}
