#include "net/http_refusal.hpp"

#include <absl/strings/str_cat.h>

#include <cassert>

namespace hawthornspur::net
{

namespace
{

std::string to_text(std::string_view text)
{
    return std::string(text);
}

} // namespace

http_refusal make_refusal(result_code code)
{
    auto const& row = info(code);
    assert(row.m_http_status != 0);
    auto const number = std::to_string(static_cast<unsigned>(code));
    auto const outcome = to_text(to_string(row.m_execution));
    http_refusal refusal;
    refusal.m_head = {row.m_http_status,
                      {{"Hawthornspur-Code", number},
                       {"Hawthornspur-Outcome", outcome},
                       {"Content-Type", "application/json"}}};
    // The table of result codes has no characters that JSON must escape; a
    // test checks this.
    refusal.m_body =
        absl::StrCat("{\"code\":", number, ",\"name\":\"", to_text(row.m_name),
                     "\",\"outcome\":\"", outcome, "\",\"message\":\"",
                     to_text(row.m_meaning), "\"}\n");
    return refusal;
}

std::string to_bytes(http_refusal const& refusal)
{
    auto out =
        absl::StrCat("HTTP/1.1 ", refusal.m_head.m_status, " Refused\r\n");
    for (auto const& [name, text] : refusal.m_head.m_headers)
    {
        absl::StrAppend(&out, name, ": ", text, "\r\n");
    }
    absl::StrAppend(&out, "Content-Length: ", refusal.m_body.size(),
                    "\r\nConnection: close\r\n\r\n", refusal.m_body);
    return out;
}

} // namespace hawthornspur::net
