#ifndef HAWTHORNSPUR_FUZZ_BYTE_MUTATION_HPP
#define HAWTHORNSPUR_FUZZ_BYTE_MUTATION_HPP

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

/// Returns a uniformly distributed number less than `bound`, which is positive.
inline std::size_t random_below(engine& random, std::size_t bound)
{
    return std::uniform_int_distribution<std::size_t>(0, bound - 1)(random);
}

/// Applies one to four random edits to a valid input: replaces, inserts,
/// removes or repeats bytes, or inserts a part of another valid input.
inline std::string mutate(engine& random, std::string input,
                          std::vector<std::string> const& others)
{
    // Bytes with a special meaning in msgpack, HTTP or number formats.
    using namespace std::string_view_literals;
    static constexpr auto special_bytes =
        "\0\x01\x7F\x80\x90\x9F\xA0\xC0\xC4\xD9\xDC\xDD\xFF\r\n\t :;,0/%+-"sv;
    constexpr std::size_t max_edits = 4;
    constexpr std::size_t edit_kinds = 5;
    constexpr std::size_t max_part_bytes = 24;
    auto const edit_count = 1 + random_below(random, max_edits);
    for (std::size_t i = 0; i < edit_count; ++i)
    {
        auto const position = random_below(random, input.size() + 1);
        auto const length = 1 + random_below(random, max_part_bytes);
        auto const byte =
            special_bytes[random_below(random, special_bytes.size())];
        switch (random_below(random, edit_kinds))
        {
        case 0:
            input.insert(position, 1, byte);
            break;
        case 1:
            input.erase(position, length);
            break;
        case 2:
            input.insert(position, input.substr(position, length));
            break;
        case 3:
        {
            auto const& other = others[random_below(random, others.size())];
            input.insert(
                position,
                other.substr(random_below(random, other.size() + 1), length));
            break;
        }
        default:
            if (position < input.size())
            {
                input[position] = random_below(random, 2) == 0
                                      ? byte
                                      : static_cast<char>(random() & 0xFFU);
            }
        }
    }
    return input;
}

/// If a rule is violated, prints the rule and the failing input and exits with
/// status 1.
inline void require_rule(bool is_met, char const* rule, std::uint64_t seed,
                         std::uint64_t case_number, std::string_view input)
{
    if (is_met)
    {
        return;
    }
    std::fprintf(stderr, "rule violated: %s\nseed %llu, case %llu, bytes ",
                 rule, static_cast<unsigned long long>(seed),
                 static_cast<unsigned long long>(case_number));
    for (auto const byte : input)
    {
        std::fprintf(stderr, "%02x", static_cast<unsigned char>(byte));
    }
    std::fprintf(stderr, "\n");
    std::exit(1);
}

} // namespace hawthornspur::fuzz

#endif
