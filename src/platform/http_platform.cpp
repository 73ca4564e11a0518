#include "platform/http_platform.hpp"

#include "base/text.hpp"
#include "platform/http_call.hpp"

#include <nlohmann/json.hpp>

#include <memory>
#include <optional>
#include <utility>

namespace hawthornspur::platform
{

namespace
{

using nlohmann::json;

constexpr int status_ok = 200;
constexpr int status_created = 201;
constexpr int status_no_content = 204;
constexpr int status_not_found = 404;
constexpr int status_conflict = 409;

/// Values have at most one megabyte. JSON escapes make them longer.
constexpr std::size_t max_answer_bytes = std::size_t{8} << 20U;

constexpr core::duration no_wait{0};

struct server_context
{
    net::http_client* m_client = nullptr;
    http_platform_settings m_settings;
};

void send(server_context const& server, std::string method, std::string uri,
          std::string body, core::duration extra_wait,
          callback<http_answer> done)
{
    send_call(*server.m_client, server.m_settings.m_server,
              {std::move(method), std::move(uri), std::move(body),
               server.m_settings.m_timeout + extra_wait, max_answer_bytes},
              std::move(done));
}

error make_status_error(http_answer const& answer)
{
    constexpr int first_client_error = 400;
    constexpr int first_server_error = 500;
    constexpr int too_many_requests = 429;
    // Other 4xx statuses indicate a protocol mismatch, which a retry would not
    // resolve.
    auto const is_protocol_fault = answer.m_status < first_server_error &&
                                   answer.m_status >= first_client_error &&
                                   answer.m_status != too_many_requests;
    return make_error(answer.m_status < first_client_error || is_protocol_fault
                          ? result_code::store_answer_malformed
                          : result_code::store_unavailable,
                      "the platform answered with status " +
                          std::to_string(answer.m_status));
}

error make_malformed_error(std::string_view what)
{
    return make_error(result_code::store_answer_malformed,
                      "the platform's answer has no valid " +
                          std::string(what));
}

json parse(std::string const& body)
{
    return json::parse(body, nullptr, false);
}

std::optional<std::string> text_field(json const& object, char const* name)
{
    auto const found = object.find(name);
    return found != object.end() && found->is_string()
               ? std::optional(found->get<std::string>())
               : std::nullopt;
}

std::optional<std::uint64_t> number_field(json const& object, char const* name)
{
    auto const found = object.find(name);
    return found != object.end() && found->is_number_unsigned()
               ? std::optional(found->get<std::uint64_t>())
               : std::nullopt;
}

result<stored_value> read_stored_value(http_answer const& answer)
{
    if (answer.m_status == status_not_found ||
        answer.m_status == status_no_content)
    {
        return make_error(result_code::not_found, "the key has no new value");
    }
    if (answer.m_status != status_ok)
    {
        return make_status_error(answer);
    }
    auto const body = parse(answer.m_body);
    auto value = text_field(body, "value");
    auto const revision = number_field(body, "revision");
    if (!value || !revision || *revision == 0)
    {
        return make_malformed_error("value and revision");
    }
    return stored_value{std::move(*value),
                        {*revision, number_field(body, "epoch").value_or(0)}};
}

result<std::uint64_t> read_revision(http_answer const& answer)
{
    if (answer.m_status == status_conflict)
    {
        return make_error(result_code::version_conflict,
                          "the key has another revision");
    }
    if (answer.m_status != status_ok && answer.m_status != status_created)
    {
        return make_status_error(answer);
    }
    auto const revision = number_field(parse(answer.m_body), "revision");
    if (!revision || *revision == 0)
    {
        return make_malformed_error("revision");
    }
    return *revision;
}

result<std::string> read_lease(http_answer const& answer)
{
    if (answer.m_status != status_ok && answer.m_status != status_created)
    {
        return make_status_error(answer);
    }
    auto name = text_field(parse(answer.m_body), "lease");
    if (!name || name->empty())
    {
        return make_malformed_error("lease");
    }
    return std::move(*name);
}

result<std::monostate> read_renewal(http_answer const& answer)
{
    if (answer.m_status == status_not_found)
    {
        return make_error(result_code::not_found, "the lease has expired");
    }
    if (answer.m_status != status_ok && answer.m_status != status_no_content)
    {
        return make_status_error(answer);
    }
    return std::monostate{};
}

std::optional<listed_host> read_host(json const& row)
{
    if (!row.is_object())
    {
        return std::nullopt;
    }
    constexpr std::uint64_t max_port = 65'535;
    auto const name = text_field(row, "name");
    auto const role = text_field(row, "role");
    auto const zone = text_field(row, "zone");
    auto const address = text_field(row, "address");
    auto const port = number_field(row, "port");
    auto const peer_port = number_field(row, "peer_port").value_or(0);
    auto const state = text_field(row, "state");
    if (!name || !role || !zone || !address || !port || !state ||
        *port > max_port || peer_port > max_port ||
        (*role != "entry" && *role != "target") ||
        (*state != "live" && *state != "leaving"))
    {
        return std::nullopt;
    }
    listed_host host;
    host.m_name = *name;
    host.m_role = *role == "entry" ? listed_role::entry : listed_role::target;
    host.m_zone = *zone;
    host.m_address = *address;
    host.m_port = static_cast<std::uint16_t>(*port);
    host.m_peer_port = static_cast<std::uint16_t>(peer_port);
    host.m_leaving = *state == "leaving";
    return host;
}

result<std::vector<listed_host>> read_hosts(http_answer const& answer)
{
    if (answer.m_status != status_ok)
    {
        return make_status_error(answer);
    }
    auto const body = parse(answer.m_body);
    auto const rows = body.find("hosts");
    if (rows == body.end() || !rows->is_array())
    {
        return make_malformed_error("hosts");
    }
    std::vector<listed_host> hosts;
    for (auto const& row : *rows)
    {
        auto host = read_host(row);
        if (!host)
        {
            return make_malformed_error("row in hosts");
        }
        hosts.push_back(std::move(*host));
    }
    return hosts;
}

/// Converts a callback for a value into a callback for the HTTP answer.
template <class T>
callback<http_answer> make_answer_handler(callback<T> done,
                                          result<T> (*read)(http_answer const&))
{
    return [done = std::move(done), read](result<http_answer> answer)
    {
        if (!has_value(answer))
        {
            done(failure(answer));
            return;
        }
        done(read(value(answer)));
    };
}

} // namespace

platform_calls make_http_platform(net::http_client& client,
                                  http_platform_settings settings)
{
    auto const server = std::make_shared<server_context const>(
        server_context{&client, std::move(settings)});
    platform_calls calls;
    calls.m_get = [server](std::string const& key, callback<stored_value> done)
    {
        send(*server, "GET", "/v1/kv/" + escape_key(key), {}, no_wait,
             make_answer_handler(std::move(done), read_stored_value));
    };
    calls.m_compare_and_swap =
        [server](std::string const& key, std::string const& value,
                 key_version const& replaced, callback<std::uint64_t> done)
    {
        // A value that is not UTF-8 cannot be sent as JSON.
        auto body = json{{"value", value}}.dump(-1, ' ', false,
                                                json::error_handler_t::replace);
        auto uri = "/v1/kv/" + escape_key(key) +
                   "?revision=" + std::to_string(replaced.m_revision);
        if (replaced.m_epoch != 0)
        {
            uri += "&epoch=" + std::to_string(replaced.m_epoch);
        }
        send(*server, "PUT", std::move(uri), std::move(body), no_wait,
             make_answer_handler(std::move(done), read_revision));
    };
    calls.m_watch = [server](std::string const& key, std::uint64_t after,
                             core::duration wait, callback<stored_value> done)
    {
        send(*server, "GET",
             "/v1/watch/" + escape_key(key) + "?after=" +
                 std::to_string(after) + "&wait_ms=" + milliseconds_text(wait),
             {}, wait, make_answer_handler(std::move(done), read_stored_value));
    };
    calls.m_create_lease =
        [server](core::duration lifetime, callback<std::string> done)
    {
        send(*server, "POST", "/v1/leases",
             "{\"lifetime_ms\":" + milliseconds_text(lifetime) + "}", no_wait,
             make_answer_handler(std::move(done), read_lease));
    };
    calls.m_renew_lease =
        [server](std::string const& lease, callback<std::monostate> done)
    {
        send(*server, "PUT", "/v1/leases/" + escape_key(lease), {}, no_wait,
             make_answer_handler(std::move(done), read_renewal));
    };
    calls.m_list_hosts = [server](callback<std::vector<listed_host>> done)
    {
        send(*server, "GET", "/v1/hosts", {}, no_wait,
             make_answer_handler(std::move(done), read_hosts));
    };
    return calls;
}

} // namespace hawthornspur::platform
