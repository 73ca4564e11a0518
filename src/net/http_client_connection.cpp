#include "base/text.hpp"
#include "net/http_client_state.hpp"
#include "net/socket_options.hpp"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/keyvalq_struct.h>

#include <map>
#include <string>
#include <utility>

namespace hawthornspur::net::detail
{

namespace
{

std::optional<evhttp_cmd_type> command_of(std::string_view method)
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

exchange* current(connection* c)
{
    auto const found = c->m_client->m_exchanges.find(c->m_exchange);
    return found == c->m_client->m_exchanges.end() ? nullptr
                                                   : found->second.get();
}

std::optional<std::uint64_t> announced_length(http_headers const& headers)
{
    auto const text = find_header(headers, "Content-Length");
    return text ? parse_number<std::uint64_t>(*text) : std::nullopt;
}

void deliver_head(exchange& e, evhttp_request* request)
{
    if (e.m_head_seen)
    {
        return;
    }
    e.m_head_seen = true;
    http_response_head head;
    head.m_status = evhttp_request_get_response_code(request);
    auto* headers = evhttp_request_get_input_headers(request);
    for (auto* header = headers->tqh_first; header != nullptr;
         header = header->next.tqe_next)
    {
        head.m_headers.emplace_back(header->key, header->value);
    }
    auto const length = announced_length(head.m_headers);
    if (e.m_handlers.m_on_head)
    {
        e.m_handlers.m_on_head(std::move(head), length);
    }
}

int on_head(evhttp_request* request, void* argument)
{
    auto* c = static_cast<connection*>(argument);
    if (auto* e = current(c))
    {
        deliver_head(*e, request);
    }
    return 0;
}

void on_data(evhttp_request* request, void* argument)
{
    auto* c = static_cast<connection*>(argument);
    auto* buffer = evhttp_request_get_input_buffer(request);
    auto const size = evbuffer_get_length(buffer);
    auto* e = current(c);
    if (e == nullptr || size == 0)
    {
        return;
    }
    e->m_received += size;
    if (e->m_received > e->m_max_answer_bytes)
    {
        finish(*c->m_client, e->m_id, exchange_outcome::too_large);
        return;
    }
    auto const* bytes = evbuffer_pullup(buffer, -1);
    if (e->m_handlers.m_on_data)
    {
        e->m_handlers.m_on_data(
            std::string_view(reinterpret_cast<char const*>(bytes), size));
    }
}

exchange_outcome outcome_of(exchange const& e)
{
    if (e.m_connection->m_bytes_sent == 0)
    {
        return exchange_outcome::connect_failed;
    }
    if (e.m_error == EVREQ_HTTP_INVALID_HEADER)
    {
        return exchange_outcome::malformed;
    }
    if (e.m_head_seen)
    {
        return exchange_outcome::truncated;
    }
    if (e.m_error == EVREQ_HTTP_TIMEOUT)
    {
        return exchange_outcome::silent;
    }
    return exchange_outcome::closed;
}

void on_error(evhttp_request_error what, void* argument)
{
    static_cast<connection*>(argument)->m_request = nullptr;
    if (auto* e = current(static_cast<connection*>(argument)))
    {
        e->m_error = what;
    }
}

void on_done(evhttp_request* request, void* argument)
{
    auto* c = static_cast<connection*>(argument);
    c->m_request = nullptr;
    auto* e = current(c);
    if (e == nullptr)
    {
        return;
    }
    if (request == nullptr || e->m_error ||
        evhttp_request_get_response_code(request) == 0)
    {
        finish(*c->m_client, e->m_id, outcome_of(*e));
        return;
    }
    deliver_head(*e, request);
    finish(*c->m_client, e->m_id, exchange_outcome::complete);
}

void on_connection_closed(evhttp_connection* /*evcon*/, void* argument)
{
    auto* c = static_cast<connection*>(argument);
    if (c->m_exchange == 0)
    {
        destroy_later(*c->m_client, c);
    }
}

void count_sent(evbuffer* /*buffer*/, evbuffer_cb_info const* change,
                void* argument)
{
    static_cast<connection*>(argument)->m_bytes_sent += change->n_deleted;
}

/// An answer before the request was sent whole: the rest of the request is of
/// no use, and evhttp reads nothing before it believes it sent.
void stop_sending(connection* c)
{
    auto* transport = evhttp_connection_get_bufferevent(c->m_evcon);
    auto* output = bufferevent_get_output(transport);
    if (evbuffer_get_length(output) == 0)
    {
        return;
    }
    c->m_is_spent = true;
    evbuffer_unfreeze(output, 1);
    evbuffer_drain(output, evbuffer_get_length(output));
    evbuffer_freeze(output, 1);
    // Otherwise the socket could report the end of the write a second time,
    // on which evhttp ends the process.
    bufferevent_disable(transport, EV_WRITE);
    bufferevent_trigger(transport, EV_WRITE,
                        BEV_TRIG_IGNORE_WATERMARKS | BEV_TRIG_DEFER_CALLBACKS);
}

/// evhttp reports a bad chunk as the end of the connection, so that the new
/// bytes are checked before it sees them.
bool check_chunks(connection& c, evbuffer* input, std::size_t added)
{
    evbuffer_ptr position{};
    evbuffer_ptr_set(input, &position, evbuffer_get_length(input) - added,
                     EVBUFFER_PTR_SET);
    std::string bytes(added, '\0');
    evbuffer_copyout_from(input, &position, bytes.data(), added);
    return c.m_validator.check_chunks(bytes);
}

void on_input(evbuffer* input, evbuffer_cb_info const* change, void* argument)
{
    auto* c = static_cast<connection*>(argument);
    if (c->m_is_moving || change->n_added == 0)
    {
        return;
    }
    auto const* e = current(c);
    if (e != nullptr && c->m_validator.is_head_complete())
    {
        if (c->m_validator.is_chunked() &&
            !check_chunks(*c, input, change->n_added))
        {
            finish(*c->m_client, e->m_id, exchange_outcome::malformed);
        }
        return;
    }
    auto const size = evbuffer_get_length(input);
    std::string const bytes(
        reinterpret_cast<char const*>(evbuffer_pullup(input, -1)), size);
    c->m_is_moving = true;
    evbuffer_drain(input, size);
    c->m_is_moving = false;
    if (e == nullptr)
    {
        // evhttp ends the process on some bytes that it does not expect.
        ++c->m_client->m_counters.m_unsolicited;
        destroy_later(*c->m_client, c);
        return;
    }
    auto const passed = c->m_validator.filter(bytes);
    if (!has_value(passed))
    {
        finish(*c->m_client, e->m_id, exchange_outcome::malformed);
        return;
    }
    if (value(passed).empty())
    {
        return;
    }
    c->m_is_moving = true;
    // A buffer event lets only itself append to its input.
    evbuffer_unfreeze(input, 0);
    evbuffer_add(input, value(passed).data(), value(passed).size());
    evbuffer_freeze(input, 0);
    c->m_is_moving = false;
    stop_sending(c);
}

bool is_length_header(std::string_view name)
{
    return equals_ignore_case(name, "Content-Length") ||
           equals_ignore_case(name, "Transfer-Encoding");
}

} // namespace

void destroy_later(http_client::state& client, connection* c)
{
    auto const found = client.m_connections.find(c);
    if (found == client.m_connections.end())
    {
        return;
    }
    --client.m_open[c->m_server];
    std::erase(client.m_idle[c->m_server], c);
    evhttp_connection_set_closecb(c->m_evcon, nullptr, nullptr);
    client.m_closing.push_back(std::move(found->second));
    client.m_connections.erase(found);
    client.m_deferred->start(core::duration(0));
}

void withdraw_unsent(connection* c)
{
    if (c->m_request != nullptr && c->m_bytes_sent == 0)
    {
        evhttp_cancel_request(std::exchange(c->m_request, nullptr));
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
    // Kept until the loop is back, since its timer may be calling.
    auto* const ended = found->second.get();
    client.m_ended.push_back(std::move(found->second));
    client.m_exchanges.erase(found);
    client.m_deferred->start(core::duration(0));
    ended->m_timeout->stop();
    auto* c = ended->m_connection;
    c->m_exchange = 0;
    withdraw_unsent(c);
    auto* transport = evhttp_connection_get_bufferevent(c->m_evcon);
    // Bytes after the answer would be taken for the next one.
    auto const is_clean =
        !c->m_is_spent &&
        evbuffer_get_length(bufferevent_get_input(transport)) == 0;
    if (outcome == exchange_outcome::complete && is_clean)
    {
        c->m_last_answer = event_loop::now();
        client.m_idle[c->m_server].push_back(c);
    }
    else
    {
        destroy_later(client, c);
    }
    if (ended->m_handlers.m_on_end)
    {
        ended->m_handlers.m_on_end(outcome);
    }
}

connection* open_connection(http_client::state& client, endpoint const& server)
{
    auto owned = std::make_unique<connection>();
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
    evbuffer_add_cb(bufferevent_get_output(transport), count_sent, owned.get());
    evbuffer_add_cb(bufferevent_get_input(transport), on_input, owned.get());
    ++client.m_open[server];
    ++client.m_counters.m_connections_opened;
    auto* raw = owned.get();
    client.m_connections.emplace(raw, std::move(owned));
    return raw;
}

bool start(exchange& e, http_request const& request)
{
    auto const command = command_of(request.m_method);
    if (!command)
    {
        return false;
    }
    auto* c = e.m_connection;
    auto* made = evhttp_request_new(on_done, c);
    evhttp_request_set_header_cb(made, on_head);
    evhttp_request_set_chunked_cb(made, on_data);
    evhttp_request_set_error_cb(made, on_error);
    auto* headers = evhttp_request_get_output_headers(made);
    for (auto const& [name, value] : request.m_headers)
    {
        if (!is_length_header(name))
        {
            evhttp_add_header(headers, name.c_str(), value.c_str());
        }
    }
    if (!find_header(request.m_headers, "Host"))
    {
        auto const& server = c->m_server;
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
    evbuffer_add(evhttp_request_get_output_buffer(made), request.m_body.data(),
                 request.m_body.size());
    if (evhttp_make_request(c->m_evcon, made, *command,
                            request.m_uri.c_str()) != 0)
    {
        return false;
    }
    c->m_request = made;
    auto const fd =
        bufferevent_getfd(evhttp_connection_get_bufferevent(c->m_evcon));
    set_no_delay(fd);
    set_keep_alive(fd);
    return true;
}

} // namespace hawthornspur::net::detail
