#include "net/http_refusal.hpp"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

namespace hawthornspur::net
{

// Guards against a refusal that does not say whether the request ran.
TEST_CASE("the refusal for every code with an HTTP status is complete")
{
    for (auto const& row : result_code_table())
    {
        if (row.m_http_status == 0 || row.m_code == result_code::ok)
        {
            continue;
        }
        CAPTURE(row.m_name);
        auto const [head, text] = make_refusal(row.m_code);
        auto const body = nlohmann::json::parse(text);
        auto const outcome = std::string(to_string(row.m_execution));
        CHECK(head.m_status == row.m_http_status);
        CHECK(find_header(head.m_headers, "Hawthornspur-Outcome") == outcome);
        CHECK(find_header(head.m_headers, "Hawthornspur-Code") ==
              std::to_string(static_cast<unsigned>(row.m_code)));
        CHECK(body["outcome"] == outcome);
        CHECK(body["code"] == static_cast<unsigned>(row.m_code));
        // "Retry-After" makes the caller send the request again.
        bool const has_retry_after =
            find_header(head.m_headers, "Retry-After").has_value();
        CHECK((!has_retry_after || row.m_execution == execution::not_run));
    }
}

} // namespace hawthornspur::net
