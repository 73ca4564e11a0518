#include "common/answer_check.hpp"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <charconv>

namespace hawthornspur::tools
{

std::string make_body(std::string_view request_id, std::size_t size)
{
    static constexpr std::string_view pattern =
        "abcdefghijklmnopqrstuvwxyz0123456789";
    std::string body(size, '\0');
    for (std::size_t i = 0; i < size; i += pattern.size())
    {
        pattern.copy(body.data() + i, std::min(pattern.size(), size - i));
    }
    request_id.copy(body.data(), size);
    if (request_id.size() < size)
    {
        body[request_id.size()] = '\n';
    }
    return body;
}

std::string checksum(std::string_view body)
{
    constexpr std::size_t digits = 16;
    std::array<char, digits> text{};
    auto const end = std::to_chars(text.data(), text.data() + text.size(),
                                   XXH64(body.data(), body.size(), 0), 16)
                         .ptr;
    std::string const hex(text.data(), end);
    return std::string(digits - hex.size(), '0') + hex;
}

} // namespace hawthornspur::tools
