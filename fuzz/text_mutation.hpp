#ifndef HAWTHORNSPUR_FUZZ_TEXT_MUTATION_HPP
#define HAWTHORNSPUR_FUZZ_TEXT_MUTATION_HPP

#include <cstddef>
#include <cstdint>
#include <random>
#include <span>
#include <string>
#include <string_view>

namespace hawthornspur::fuzz
{

/// Replaces the value of the first field after `from`. The result is usually
/// valid JSON, which lets the case reach the checks behind the JSON parser.
inline void replace_value(std::string& text, std::size_t from,
                          std::string_view token)
{
    auto const colon = text.find(':', from);
    auto const end = text.find_first_of(",}]", colon);
    if (colon != std::string::npos && end != std::string::npos)
    {
        text.replace(colon + 1, end - colon - 1, token);
    }
}

/// Applies 1 to `max_edits` random edits to a valid text: replaces, removes or
/// repeats bytes, inserts one of `tokens`, which are tokens of the format, or
/// replaces the value of a field by one.
inline std::string mutate(std::string text, std::mt19937_64& random,
                          std::span<std::string_view const> tokens,
                          std::size_t max_edits = 3)
{
    constexpr std::uint64_t byte_value_count = 256;
    constexpr std::uint64_t max_piece_bytes = 64;
    constexpr std::uint64_t edit_kinds = 6;
    auto const random_below = [&](std::uint64_t limit)
    {
        return random() % limit;
    };
    for (auto remaining = 1 + random_below(max_edits);
         remaining > 0 && !text.empty(); --remaining)
    {
        auto const position = random_below(text.size());
        switch (random_below(edit_kinds))
        {
        case 0:
            text[position] = static_cast<char>(random_below(byte_value_count));
            break;
        case 1:
            text.erase(position, 1 + random_below(max_piece_bytes));
            break;
        case 2:
            text.insert(random_below(text.size()),
                        text.substr(position, max_piece_bytes));
            break;
        case 3:
            text.replace(position, random_below(4),
                         tokens[random_below(tokens.size())]);
            break;
        default:
            replace_value(text, position, tokens[random_below(tokens.size())]);
            break;
        }
    }
    return text;
}

} // namespace hawthornspur::fuzz

#endif
