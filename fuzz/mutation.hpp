#ifndef HAWTHORNSPUR_FUZZ_MUTATION_HPP
#define HAWTHORNSPUR_FUZZ_MUTATION_HPP

#include <cstddef>
#include <cstdint>
#include <random>
#include <span>
#include <string>
#include <string_view>

namespace hawthornspur::fuzz
{

/// Replaces the next field's value. The text mostly stays valid JSON, so that
/// the case reaches the checks behind the JSON parser.
inline void replace_value(std::string& text, std::size_t from,
                          std::string_view word)
{
    auto const colon = text.find(':', from);
    auto const end = text.find_first_of(",}]", colon);
    if (colon != std::string::npos && end != std::string::npos)
    {
        text.replace(colon + 1, end - colon - 1, word);
    }
}

/// Changes a valid text in 1 to `most` places: bytes are replaced, removed,
/// doubled or exchanged for one of the words, which belong to the format.
inline std::string mutate(std::string text, std::mt19937_64& random,
                          std::span<std::string_view const> words,
                          std::size_t most = 3)
{
    constexpr std::uint64_t byte_values = 256;
    constexpr std::uint64_t longest_piece = 64;
    constexpr std::uint64_t kinds = 6;
    auto const below = [&](std::uint64_t limit)
    {
        return random() % limit;
    };
    for (auto left = 1 + below(most); left > 0 && !text.empty(); --left)
    {
        auto const at = below(text.size());
        switch (below(kinds))
        {
        case 0:
            text[at] = static_cast<char>(below(byte_values));
            break;
        case 1:
            text.erase(at, 1 + below(longest_piece));
            break;
        case 2:
            text.insert(below(text.size()), text.substr(at, longest_piece));
            break;
        case 3:
            text.replace(at, below(4), words[below(words.size())]);
            break;
        default:
            replace_value(text, at, words[below(words.size())]);
            break;
        }
    }
    return text;
}

} // namespace hawthornspur::fuzz

#endif
