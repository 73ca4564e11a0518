#include "base/activity.hpp"
#include "base/text.hpp"
#include "net/http_client_state.hpp"
#include "net/socket_options.hpp"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/keyvalq_struct.h>

#include <cerrno>
#include <map>
#include <string>
#include <utility>

namespace hawthornspur::net::detail
{

namespace
{

std::optional<evhttp_cmd_type> find_command(std::string_view method)
{
    static std::map<std::string_view, evhttp_cmd_type> const commands{
        {"GET", EVHTTP_REQ_GET},       {"POST", EVHTTP_REQ_POST},
        {"HEAD", EVHTTP_REQ_HEAD},     {"PUT", EVHTTP_REQ_PUT},
        {"DELETE", EVHTTP_REQ_DELETE}, {"OPTIONS", EVHTTP_REQ_OPTIONS},
        {"PATCH", EVHTTP_REQ_PATCH}};
    auto const found = commands.find(method);
    if (found == commands.end())
    {
        return std::nullopt;
    }
    return found->second;
}

client_exchange* find_exchange(client_connection* connection)
{
    auto const found =
        connection->m_client->m_exchanges.find(connection->m_exchange_id);
    return found == connection->m_client->m_exchanges.end()
               ? nullptr
               : found->second.get();
}

std::optional<std::uint64_t> announced_length(http_headers const& headers)
{
    auto const text = find_header(headers, "Content-Length");
    return text ? parse_number<std::uint64_t>(*text) : std::nullopt;
}

void deliver_head(client_exchange& exchange, evhttp_request* request)
{
    if (exchange.m_has_delivered_head)
    {
        return;
    }
    exchange.m_has_delivered_head = true;
    http_response_head head;
    head.m_status = evhttp_request_get_response_code(request);
    auto* headers = evhttp_request_get_input_headers(request);
    for (auto* header = headers->tqh_first; header != nullptr;
         header = header->next.tqe_next)
    {
        head.m_headers.emplace_back(header->key, header->value);
    }
    if (exchange.m_read_reuse)
    {
        exchange.m_reuse = exchange.m_read_reuse(head);
    }
    auto const length = announced_length(head.m_headers);
    if (exchange.m_handlers.m_on_head)
    {
        exchange.m_handlers.m_on_head(std::move(head), length);
    }
}

int on_head(evhttp_request* request, void* argument)
{
    auto* connection = static_cast<client_connection*>(argument);
    if (auto* exchange = find_exchange(connection))
    {
        diagnostics::activity_scope const scope("client.head", exchange->m_id);
        deliver_head(*exchange, request);
    }
    return 0;
}

void on_data(evhttp_request* request, void* argument)
{
    auto* connection = static_cast<client_connection*>(argument);
    auto* buffer = evhttp_request_get_input_buffer(request);
    auto const size = evbuffer_get_length(buffer);
    auto* exchange = find_exchange(connection);
    if (exchange == nullptr || size == 0)
    {
        return;
    }
    diagnostics::activity_scope const scope("client.data", exchange->m_id);
    exchange->m_received_bytes += size;
    if (exchange->m_received_bytes > exchange->m_max_answer_bytes)
    {
        finish(*connection->m_client, exchange->m_id,
               exchange_outcome::too_large);
        return;
    }
    auto const* bytes = evbuffer_pullup(buffer, -1);
    if (exchange->m_handlers.m_on_data)
    {
        exchange->m_handlers.m_on_data(
            std::string_view(reinterpret_cast<char const*>(bytes), size));
    }
}

/// Whether socket() or connect() failed because this side lacks a descriptor, a
/// port or memory. Other errors may depend on the address.
bool is_local_failure(int error)
{
    return error == EMFILE || error == ENFILE || error == ENOBUFS ||
           error == ENOMEM || error == EADDRNOTAVAIL;
}

exchange_outcome failure_outcome(client_exchange const& exchange)
{
    if (exchange.m_connection->m_bytes_sent == 0)
    {
        return exchange.m_is_local_failure ? exchange_outcome::not_sent
                                           : exchange_outcome::connect_failed;
    }
    if (exchange.m_error == EVREQ_HTTP_INVALID_HEADER)
    {
        return exchange_outcome::malformed;
    }
    if (exchange.m_has_delivered_head)
    {
        return exchange_outcome::truncated;
    }
    if (exchange.m_error == EVREQ_HTTP_TIMEOUT)
    {
        return exchange_outcome::silent;
    }
    return exchange_outcome::closed;
}

void on_error(evhttp_request_error what, void* argument)
{
    // evhttp restores the error of the socket before this call.
    auto const error = errno;
    auto* connection = static_cast<client_connection*>(argument);
    connection->m_request = nullptr;
    if (auto* exchange = find_exchange(connection))
    {
        exchange->m_error = what;
        // A later error comes from the network.
        exchange->m_is_local_failure =
            connection->m_is_sending && is_local_failure(error);
    }
}

void on_done(evhttp_request* request, void* argument)
{
    auto* connection = static_cast<client_connection*>(argument);
    connection->m_request = nullptr;
    auto* exchange = find_exchange(connection);
    if (exchange == nullptr)
    {
        return;
    }
    diagnostics::activity_scope const scope("client.done", exchange->m_id);
    if (request == nullptr || exchange->m_error ||
        evhttp_request_get_response_code(request) == 0)
    {
        finish(*connection->m_client, exchange->m_id,
               failure_outcome(*exchange));
        return;
    }
    deliver_head(*exchange, request);
    finish(*connection->m_client, exchange->m_id, exchange_outcome::complete);
}

void on_connection_closed(evhttp_connection* /*evcon*/, void* argument)
{
    auto* connection = static_cast<client_connection*>(argument);
    if (connection->m_exchange_id == 0)
    {
        destroy_later(*connection->m_client, connection);
    }
}

void count_sent_bytes(evbuffer* /*buffer*/, evbuffer_cb_info const* change,
                      void* argument)
{
    static_cast<client_connection*>(argument)->m_bytes_sent +=
        change->n_deleted;
}

/// Discards the unsent rest of a request that is already answered. evhttp reads
/// the answer only after the output buffer is empty.
void stop_sending(client_connection* connection)
{
    auto* transport = evhttp_connection_get_bufferevent(connection->m_evcon);
    auto* output = bufferevent_get_output(transport);
    if (evbuffer_get_length(output) == 0)
    {
        return;
    }
    connection->m_must_close = true;
    evbuffer_unfreeze(output, 1);
    evbuffer_drain(output, evbuffer_get_length(output));
    evbuffer_freeze(output, 1);
    // evhttp aborts the process if the socket reports the end of the write a
    // second time.
    bufferevent_disable(transport, EV_WRITE);
    bufferevent_trigger(transport, EV_WRITE,
                        BEV_TRIG_IGNORE_WATERMARKS | BEV_TRIG_DEFER_CALLBACKS);
}

/// Adds bytes to the input buffer, for evhttp to parse.
void add_input(client_connection& connection, evbuffer* input,
               std::string_view bytes)
{
    connection.m_is_modifying_input = true;
    // A bufferevent freezes the end of its input buffer for other writers.
    evbuffer_unfreeze(input, 0);
    evbuffer_add(input, bytes.data(), bytes.size());
    evbuffer_freeze(input, 0);
    connection.m_is_modifying_input = false;
}

std::string take_input(client_connection& connection, evbuffer* input)
{
    std::string bytes(evbuffer_get_length(input), '\0');
    connection.m_is_modifying_input = true;
    evbuffer_remove(input, bytes.data(), bytes.size());
    connection.m_is_modifying_input = false;
    return bytes;
}

/// Divides the chunks of the `added` bytes at the end of the input buffer.
/// Returns false if they are malformed.
bool divide_new_chunks(client_connection& connection, evbuffer* input,
                       std::size_t added)
{
    auto bytes = take_input(connection, input);
    auto const parsed = bytes.size() - added;
    auto const divided = connection.m_validator.divide_chunks(
        std::string_view(bytes).substr(parsed));
    if (!has_value(divided))
    {
        return false;
    }
    bytes.resize(parsed);
    add_input(connection, input, bytes + value(divided));
    return true;
}

/// Returns what evhttp is to get of the received bytes.
result<std::string> filter_input(client_connection& connection,
                                 client_exchange const& exchange,
                                 std::string_view bytes)
{
    if (exchange.m_request_id_header.empty())
    {
        return connection.m_validator.filter(bytes);
    }
    auto const count = connection.m_surplus.m_count;
    auto passed =
        filter_answers(connection.m_surplus, connection.m_validator, bytes,
                       {exchange.m_request_id_header, [&](std::string_view id)
                        {
                            return core::is_surplus(connection.m_history, id,
                                                    exchange.m_request_id);
                        }});
    if (connection.m_surplus.m_count != count)
    {
        // More copies may follow.
        connection.m_must_close = true;
        connection.m_client->m_counters.m_surplus_answers +=
            static_cast<std::uint64_t>(connection.m_surplus.m_count - count);
    }
    return passed;
}

void on_input(evbuffer* input, evbuffer_cb_info const* change, void* argument)
{
    auto* connection = static_cast<client_connection*>(argument);
    if (connection->m_is_modifying_input || change->n_added == 0)
    {
        return;
    }
    auto const* exchange = find_exchange(connection);
    if (exchange != nullptr && connection->m_validator.is_head_complete())
    {
        if (connection->m_validator.is_chunked() &&
            !divide_new_chunks(*connection, input, change->n_added))
        {
            finish(*connection->m_client, exchange->m_id,
                   exchange_outcome::malformed);
        }
        return;
    }
    auto const bytes = take_input(*connection, input);
    if (exchange == nullptr)
    {
        // evhttp aborts the process on some unsolicited bytes.
        ++connection->m_client->m_counters.m_unsolicited;
        destroy_later(*connection->m_client, connection);
        return;
    }
    auto const passed = filter_input(*connection, *exchange, bytes);
    if (!has_value(passed))
    {
        finish(*connection->m_client, exchange->m_id,
               exchange_outcome::malformed);
        return;
    }
    if (value(passed).empty())
    {
        return;
    }
    add_input(*connection, input, value(passed));
    stop_sending(connection);
}

/// Records the answered request in the history of its connection. Returns
/// whether the connection may be used again.
bool record_outcome(client_exchange const& exchange)
{
    auto& history = exchange.m_connection->m_history;
    if (exchange.m_reuse == reuse::allowed)
    {
        core::record_answer(history, exchange.m_request_id);
        return true;
    }
    core::record_refusal(history, exchange.m_request_id);
    return exchange.m_reuse == reuse::other_requests && !core::is_full(history);
}

bool is_length_header(std::string_view name)
{
    return equals_ignore_case(name, "Content-Length") ||
           equals_ignore_case(name, "Transfer-Encoding");
}

} // namespace

void destroy_later(http_client::state& client, client_connection* connection)
{
    auto const found = client.m_connections.find(connection);
    if (found == client.m_connections.end())
    {
        return;
    }
    --client.m_connection_counts[connection->m_server];
    std::erase(client.m_idle[connection->m_server], connection);
    evhttp_connection_set_closecb(connection->m_evcon, nullptr, nullptr);
    client.m_closing_connections.push_back(std::move(found->second));
    client.m_connections.erase(found);
    client.m_deferred_timer->start(core::duration(0));
}

void cancel_unsent_request(client_connection* connection)
{
    if (connection->m_request != nullptr && connection->m_bytes_sent == 0)
    {
        evhttp_cancel_request(std::exchange(connection->m_request, nullptr));
    }
}

void finish(http_client::state& client, exchange_id id,
            exchange_outcome outcome)
{
    auto const found = client.m_exchanges.find(id);
    if (found == client.m_exchanges.end())
    {
        return;
    }
    if (found->second->m_connection->m_is_sending)
    {
        // The sender still uses what the handler may destroy.
        client.m_deferred_ends.emplace_back([&client, id, outcome]
                                            { finish(client, id, outcome); });
        client.m_deferred_timer->start(core::duration(0));
        return;
    }
    // Freed later from the event loop, since its timer callback may be running.
    auto* const ended = found->second.get();
    client.m_ended_exchanges.push_back(std::move(found->second));
    client.m_exchanges.erase(found);
    client.m_deferred_timer->start(core::duration(0));
    ended->m_timeout->stop();
    auto* connection = ended->m_connection;
    connection->m_exchange_id = 0;
    cancel_unsent_request(connection);
    auto* transport = evhttp_connection_get_bufferevent(connection->m_evcon);
    auto const may_reuse = record_outcome(*ended);
    // Bytes after the answer would be parsed as the next answer.
    auto const is_clean =
        may_reuse && !connection->m_must_close &&
        evbuffer_get_length(bufferevent_get_input(transport)) == 0;
    if (outcome == exchange_outcome::complete && is_clean)
    {
        connection->m_last_answer_time = event_loop::now();
        client.m_idle[connection->m_server].push_back(connection);
    }
    else
    {
        destroy_later(client, connection);
    }
    if (ended->m_handlers.m_on_end)
    {
        ended->m_handlers.m_on_end(outcome);
    }
}

client_connection* open_connection(http_client::state& client,
                                   endpoint const& server)
{
    auto owned = std::make_unique<client_connection>();
    owned->m_client = &client;
    owned->m_server = server;
    owned->m_evcon =
        evhttp_connection_base_new(client.m_loop->base(), nullptr,
                                   server.m_address.c_str(), server.m_port);
    if (owned->m_evcon == nullptr)
    {
        return nullptr;
    }
    evhttp_connection_set_retries(owned->m_evcon, 0);
    evhttp_connection_set_closecb(owned->m_evcon, on_connection_closed,
                                  owned.get());
    auto* transport = evhttp_connection_get_bufferevent(owned->m_evcon);
    evbuffer_add_cb(bufferevent_get_output(transport), count_sent_bytes,
                    owned.get());
    evbuffer_add_cb(bufferevent_get_input(transport), on_input, owned.get());
    ++client.m_connection_counts[server];
    ++client.m_counters.m_connections_opened;
    auto* raw = owned.get();
    client.m_connections.emplace(raw, std::move(owned));
    return raw;
}

bool send_request(client_exchange& exchange, http_request const& request)
{
    auto const command = find_command(request.m_method);
    if (!command)
    {
        return false;
    }
    diagnostics::activity_scope const scope("client.send", exchange.m_id);
    auto* connection = exchange.m_connection;
    auto* outgoing = evhttp_request_new(on_done, connection);
    evhttp_request_set_header_cb(outgoing, on_head);
    evhttp_request_set_chunked_cb(outgoing, on_data);
    evhttp_request_set_error_cb(outgoing, on_error);
    auto* headers = evhttp_request_get_output_headers(outgoing);
    for (auto const& [name, value] : request.m_headers)
    {
        if (!is_length_header(name))
        {
            evhttp_add_header(headers, name.c_str(), value.c_str());
        }
    }
    if (!find_header(request.m_headers, "Host"))
    {
        auto const& server = connection->m_server;
        evhttp_add_header(
            headers, "Host",
            (server.m_address + ":" + std::to_string(server.m_port)).c_str());
    }
    auto const may_have_body = *command == EVHTTP_REQ_POST ||
                               *command == EVHTTP_REQ_PUT ||
                               *command == EVHTTP_REQ_PATCH;
    if (may_have_body || !request.m_body.empty())
    {
        evhttp_add_header(headers, "Content-Length",
                          std::to_string(request.m_body.size()).c_str());
    }
    evbuffer_add(evhttp_request_get_output_buffer(outgoing),
                 request.m_body.data(), request.m_body.size());
    // Before the call, which frees the request if the connection fails at once.
    connection->m_request = outgoing;
    connection->m_is_sending = true;
    errno = 0;
    auto const is_taken =
        evhttp_make_request(connection->m_evcon, outgoing, *command,
                            request.m_uri.c_str()) == 0;
    connection->m_is_sending = false;
    if (!is_taken)
    {
        connection->m_request = nullptr;
        return false;
    }
    auto const fd = bufferevent_getfd(
        evhttp_connection_get_bufferevent(connection->m_evcon));
    if (fd >= 0)
    {
        set_no_delay(fd);
        set_keep_alive(fd);
    }
    return true;
}

} // namespace hawthornspur::net::detail
