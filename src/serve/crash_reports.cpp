#include "serve/crash_reports.hpp"

#include "base/logging.hpp"
#include "serve/host.hpp"

#include <absl/strings/str_format.h>
#include <xxhash.h>

#include <map>
#include <utility>

namespace hawthornspur::serve
{

namespace
{

/// The connections of a target that ends are closed within this time.
constexpr auto loss_window = std::chrono::milliseconds(200);

/// A target that has ended is noticed within this time, by a probe or by the
/// next attempt at it.
constexpr auto max_confirmation_time = std::chrono::seconds(2);

std::string to_text(core::content_id content)
{
    return absl::StrFormat("%016x", content.m_value);
}

} // namespace

core::content_id make_content_id(net::http_request const& request)
{
    auto const add = [](std::uint64_t hash, std::string_view text)
    {
        return XXH64(text.data(), text.size(), hash);
    };
    auto hash = add(0, request.m_method);
    hash = add(hash, net::find_header(request.m_headers, "Host").value_or(""));
    hash = add(hash, request.m_uri);
    hash =
        add(hash,
            net::find_header(request.m_headers, "Authorization").value_or(""));
    return {add(hash, request.m_body)};
}

void on_attempt_lost(entry_host& host, active_call const& call,
                     core::target_id target)
{
    auto& lost = host.m_lost_requests[target];
    if (now() - lost.m_since > loss_window)
    {
        lost = {now(), {}};
    }
    lost.m_contents.push_back(make_content_id(call.m_accepted.m_request));
}

void on_target_ended(entry_host& host, core::target_id target)
{
    auto const found = host.m_lost_requests.find(target);
    if (found == host.m_lost_requests.end())
    {
        return;
    }
    auto const lost = std::move(found->second);
    host.m_lost_requests.erase(found);
    if (now() - lost.m_since > max_confirmation_time)
    {
        return;
    }
    std::map<core::content_id, int> counts;
    for (auto const content : lost.m_contents)
    {
        ++counts[content];
    }
    for (auto const& [content, count] : counts)
    {
        auto const weight = count / static_cast<double>(lost.m_contents.size());
        logging::write(logging::level::info, "serve.crashes",
                       "target ended while it ran the request",
                       {{"target", host.m_targets.at(target).m_name},
                        {"content", to_text(content)},
                        {"weight", absl::StrFormat("%.2f", weight)}});
    }
}

void on_target_alive(entry_host& host, core::target_id target,
                     core::time_point sent_at)
{
    auto const found = host.m_lost_requests.find(target);
    if (found != host.m_lost_requests.end() && sent_at > found->second.m_since)
    {
        host.m_lost_requests.erase(found);
    }
}

void expire_lost_requests(entry_host& host)
{
    std::erase_if(
        host.m_lost_requests, [](auto const& entry)
        { return now() - entry.second.m_since > max_confirmation_time; });
}

} // namespace hawthornspur::serve
