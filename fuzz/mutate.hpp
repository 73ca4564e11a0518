#ifndef HAWTHORNSPUR_FUZZ_MUTATE_HPP
#define HAWTHORNSPUR_FUZZ_MUTATE_HPP

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdio>
#include <cstdlib>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornspur::fuzz
{

using engine = std::mt19937_64;

inline std::size_t below(engine& random, std::size_t bound)
{
    return std::uniform_int_distribution<std::size_t>(0, bound - 1)(random);
}

/// Changes a valid input in one to four places: bytes are replaced, inserted,
/// removed or repeated, or a part of another input is put in.
inline std::string mutate(engine& random, std::string input,
                          std::vector<std::string> const& others)
{
    // Bytes with a meaning in msgpack, HTTP or as numbers.
    using namespace std::string_view_literals;
    static constexpr auto interesting =
        "\0\x01\x7F\x80\x90\x9F\xA0\xC0\xC4\xD9\xDC\xDD\xFF\r\n\t :;,0/%+-"sv;
    constexpr std::size_t max_edits = 4;
    constexpr std::size_t kinds = 5;
    constexpr std::size_t max_part = 24;
    auto const edits = 1 + below(random, max_edits);
    for (std::size_t i = 0; i < edits; ++i)
    {
        auto const at = below(random, input.size() + 1);
        auto const length = 1 + below(random, max_part);
        auto const byte = interesting[below(random, interesting.size())];
        switch (below(random, kinds))
        {
        case 0:
            input.insert(at, 1, byte);
            break;
        case 1:
            input.erase(at, length);
            break;
        case 2:
            input.insert(at, input.substr(at, length));
            break;
        case 3:
        {
            auto const& other = others[below(random, others.size())];
            input.insert(at,
                         other.substr(below(random, other.size() + 1), length));
            break;
        }
        default:
            if (at < input.size())
            {
                input[at] = below(random, 2) == 0
                                ? byte
                                : static_cast<char>(random() & 0xFFU);
            }
        }
    }
    return input;
}

/// Ends the program with the case that broke a rule.
inline void require(bool holds, char const* rule, std::uint64_t seed,
                    std::uint64_t number, std::string_view input)
{
    if (holds)
    {
        return;
    }
    std::fprintf(stderr, "rule broken: %s\nseed %llu, case %llu, bytes ", rule,
                 static_cast<unsigned long long>(seed),
                 static_cast<unsigned long long>(number));
    for (auto const c : input)
    {
        std::fprintf(stderr, "%02x", static_cast<unsigned char>(c));
    }
    std::fprintf(stderr, "\n");
    std::exit(1);
}

} // namespace hawthornspur::fuzz

#endif
