#include "base/text.hpp"
#include "serve/accept.hpp"
#include "serve/caller_interface.hpp"
#include "serve/target_signals.hpp"

#include <algorithm>
#include <string>

namespace hawthornspur::serve
{

namespace
{

std::string format_time_left(core::duration time_left)
{
    auto const ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(time_left)
            .count();
    return std::to_string(std::max<std::int64_t>(1, ms));
}

void set_target_headers(accepted_request const& accepted,
                        attempt_metadata const& metadata,
                        net::http_headers& header_list)
{
    net::set_header(header_list, headers::deadline,
                    format_time_left(metadata.m_time_left));
    net::set_header(header_list, headers::attempt,
                    std::to_string(accepted.m_earlier_attempts +
                                   static_cast<int>(metadata.m_attempt)));
    net::set_header(header_list, headers::depth,
                    std::to_string(accepted.m_depth + 1));
    net::remove_header(header_list, headers::service);
    net::remove_header(header_list, headers::zone);
    if (!metadata.m_customer.empty())
    {
        net::set_header(header_list, headers::customer, metadata.m_customer);
    }
}

void remove_credentials(net::http_headers& header_list)
{
    net::remove_header(header_list, headers::credentials);
    net::remove_header(header_list, headers::customer);
}

answer_signals read_signals(accepted_request const& /*accepted*/,
                            net::http_response_head const& head,
                            core::kind_config const& kind)
{
    answer_signals signals;
    signals.m_is_not_run = is_not_run(head, kind);
    signals.m_is_draining = is_draining(head);
    signals.m_load = read_load(head);
    signals.m_rate_limit = read_rate_limit(head.m_headers, headers::rate_limit);
    return signals;
}

net::reuse read_reuse(std::string const& /*request_id*/,
                      net::http_response_head const& head,
                      core::kind_config const& /*kind*/)
{
    // Targets need not repeat the id of a request, and the kind of the next
    // request may take a status for a refusal that this one does not.
    constexpr int first_error_status = 400;
    return head.m_status < first_error_status ? net::reuse::allowed
                                              : net::reuse::forbidden;
}

answer_signals read_probe_signals(net::http_response_head const& head,
                                  std::string const& /*target*/)
{
    answer_signals signals;
    signals.m_is_draining = is_draining(head);
    signals.m_load = read_load(head);
    signals.m_rate_limit = read_rate_limit(head.m_headers, headers::rate_limit);
    return signals;
}

void remove_signal_headers(net::http_headers& header_list)
{
    net::remove_header(header_list, headers::load);
    net::remove_header(header_list, headers::draining);
    // Only hosts tell callers whether a request ran.
    net::remove_header(header_list, headers::code);
    net::remove_header(header_list, headers::outcome);
    net::remove_header(header_list, headers::not_run);
}

void add_retry_after(net::http_headers& header_list, core::duration delay)
{
    // Whole seconds (RFC 9110, section 10.2.3), rounded up.
    auto const seconds = std::chrono::ceil<std::chrono::seconds>(delay).count();
    net::set_header(header_list, "Retry-After", std::to_string(seconds));
}

} // namespace

caller_interface make_default_caller_interface()
{
    caller_interface callbacks;
    callbacks.m_accept = accept_request;
    callbacks.m_set_target_headers = set_target_headers;
    callbacks.m_remove_credentials = remove_credentials;
    callbacks.m_read_signals = read_signals;
    callbacks.m_read_reuse = read_reuse;
    callbacks.m_read_probe_signals = read_probe_signals;
    callbacks.m_remove_signal_headers = remove_signal_headers;
    callbacks.m_add_retry_after = add_retry_after;
    return callbacks;
}

} // namespace hawthornspur::serve
