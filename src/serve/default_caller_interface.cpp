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

std::string milliseconds_left(core::duration left)
{
    auto const ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(left).count();
    return std::to_string(std::max<std::int64_t>(1, ms));
}

void address_target(accepted_request const& accepted,
                    attempt_metadata const& notice, net::http_headers& list)
{
    net::set_header(list, headers::deadline,
                    milliseconds_left(notice.m_time_left));
    net::set_header(list, headers::attempt,
                    std::to_string(accepted.m_earlier_attempts +
                                   static_cast<int>(notice.m_attempt)));
    net::set_header(list, headers::depth, std::to_string(accepted.m_depth + 1));
    net::remove_header(list, headers::service);
    net::remove_header(list, headers::zone);
}

answer_signals read_signals(accepted_request const& /*accepted*/,
                            net::http_response_head const& head,
                            core::kind_config const& kind)
{
    answer_signals signals;
    signals.m_is_not_run = is_not_run(head, kind);
    signals.m_is_draining = is_draining(head);
    signals.m_load = read_load(head);
    return signals;
}

answer_signals read_probe(net::http_response_head const& head,
                          std::string const& /*target*/)
{
    answer_signals signals;
    signals.m_is_draining = is_draining(head);
    signals.m_load = read_load(head);
    return signals;
}

void clean_answer(net::http_headers& list)
{
    net::remove_header(list, headers::load);
    net::remove_header(list, headers::draining);
}

void add_retry_after(net::http_headers& list, core::duration wait)
{
    // Whole seconds (RFC 9110, section 10.2.3), rounded up.
    auto const seconds = std::chrono::ceil<std::chrono::seconds>(wait).count();
    net::set_header(list, "Retry-After", std::to_string(seconds));
}

} // namespace

caller_interface make_default_caller_interface()
{
    caller_interface made;
    made.m_accept = accept_request;
    made.m_set_target_headers = address_target;
    made.m_read_signals = read_signals;
    made.m_read_probe_signals = read_probe;
    made.m_remove_signal_headers = clean_answer;
    made.m_add_retry_after = add_retry_after;
    return made;
}

} // namespace hawthornspur::serve
