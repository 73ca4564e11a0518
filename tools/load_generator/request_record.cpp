#include "load_generator/request_record.hpp"

#include "common/answer_check.hpp"

#include <algorithm>

namespace hawthornspur::tools
{

namespace
{

constexpr int first_success = 200;
constexpr int first_redirect = 300;

bool starts_with_id(std::string_view body, std::string_view id)
{
    auto const common_size = std::min(body.size(), id.size());
    return body.substr(0, common_size) == id.substr(0, common_size) &&
           (body.size() <= id.size() || body[id.size()] == '\n');
}

} // namespace

request_outcome check_answer(std::string_view request_id, int status,
                             net::http_headers const& headers,
                             std::string_view body)
{
    auto const id = net::find_header(headers, request_id_header);
    bool const succeeded = status >= first_success && status < first_redirect;
    if (id ? *id != request_id : succeeded)
    {
        return request_outcome::foreign;
    }
    if (!id)
    {
        return request_outcome::error_status;
    }
    if (!starts_with_id(body, request_id))
    {
        return request_outcome::foreign;
    }
    if (net::find_header(headers, checksum_header) != checksum(body))
    {
        return request_outcome::partial;
    }
    return succeeded ? request_outcome::answered
                     : request_outcome::error_status;
}

std::string make_request_id(std::string const& run_id, std::size_t index)
{
    return run_id + "-" + std::to_string(index);
}

} // namespace hawthornspur::tools
