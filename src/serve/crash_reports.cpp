#include "serve/crash_reports.hpp"

#include "base/logging.hpp"
#include "base/text.hpp"
#include "core/crash_suspects.hpp"
#include "serve/authorize.hpp"
#include "serve/host.hpp"
#include "serve/pipeline.hpp"
#include "serve/pools.hpp"

#include <absl/strings/str_format.h>
#include <xxhash.h>

#include <algorithm>
#include <map>
#include <utility>

namespace hawthornspur::serve
{

namespace
{

/// The connections of a target that ends are closed within this time.
constexpr auto loss_window = std::chrono::milliseconds(200);

/// A target that has ended is noticed within this time, by the check of its
/// address or by the next attempt at it.
constexpr auto max_confirmation_time = std::chrono::seconds(2);

/// A target in another zone accepts or refuses a connection within about 10 ms.
constexpr auto check_timeout = std::chrono::milliseconds(300);

std::string to_text(core::content_id content)
{
    return absl::StrFormat("%016x", content.m_value);
}

net::suspect_entry to_entry(core::content_id content,
                            core::suspect_record const& record)
{
    auto const age = [](core::time_point at)
    {
        return now() - at;
    };
    net::suspect_entry entry;
    entry.m_content = content;
    for (auto const& report : record.m_reports)
    {
        entry.m_reports.push_back(
            {report.m_target, age(report.m_at), report.m_weight});
    }
    if (record.m_last_answer)
    {
        entry.m_last_answer_age = age(*record.m_last_answer);
    }
    if (record.m_last_trial)
    {
        entry.m_last_trial_age = age(*record.m_last_trial);
    }
    return entry;
}

core::suspect_record to_record(net::suspect_entry const& entry)
{
    core::suspect_record record;
    for (auto const& report : entry.m_reports)
    {
        record.m_reports.push_back(
            {report.m_target_hash, now() - report.m_age, report.m_weight});
    }
    if (entry.m_last_answer_age)
    {
        record.m_last_answer = now() - *entry.m_last_answer_age;
    }
    if (entry.m_last_trial_age)
    {
        record.m_last_trial = now() - *entry.m_last_trial_age;
    }
    return record;
}

/// Sends the records of these contents to all linked hosts.
void share_records(entry_host& host,
                   std::vector<core::content_id> const& contents)
{
    net::crash_suspects_message message;
    for (auto const content : contents)
    {
        auto const found = host.m_crash_suspects.m_records.find(content);
        if (found != host.m_crash_suspects.m_records.end())
        {
            message.m_entries.push_back(to_entry(content, found->second));
        }
    }
    if (message.m_entries.empty())
    {
        return;
    }
    for (auto const& record : core::hosts(*host.m_membership))
    {
        if (host.m_peer_network->is_linked(record.m_name))
        {
            static_cast<void>(
                host.m_peer_network->send(record.m_name, message));
        }
    }
}

/// Refuses the requests with this content that wait in pools of this host.
void refuse_waiting(entry_host& host, core::content_id content)
{
    std::vector<core::pool_id> ids;
    for (auto const& [id, pool] : host.m_pools)
    {
        ids.push_back(id);
    }
    for (auto const& id : ids)
    {
        if (auto* pool = find_pool(host, id))
        {
            core::pool_effects effects;
            core::refuse_suspects(*pool->m_core_pool, content, now(), effects);
            apply_effects(host, *pool, std::move(effects));
        }
    }
}

/// Acts on a changed record. The other hosts get it at once if the content
/// became suspected or ceased to be, also from hosts that were told: not every
/// two hosts are linked.
void apply_change(entry_host& host, core::content_id content, bool was_suspect)
{
    bool const is_suspect = core::is_suspect(host.m_crash_suspects, content);
    if (is_suspect == was_suspect)
    {
        return;
    }
    auto const& records = host.m_crash_suspects.m_records;
    auto const found = records.find(content);
    auto const ends =
        found == records.end() ? 0 : found->second.m_reports.size();
    host.m_metrics.count_event(is_suspect ? "request_suspected"
                                          : "request_cleared");
    logging::write(
        logging::level::warn, "serve.crashes",
        is_suspect ? "request is suspected to crash targets"
                   : "request is no longer suspected",
        {{"content", to_text(content)}, {"target_ends", std::to_string(ends)}});
    share_records(host, {content});
    if (is_suspect)
    {
        refuse_waiting(host, content);
    }
}

/// Losses of requests with this content whose targets may have ended.
core::unconfirmed_ends count_unconfirmed(entry_host const& host,
                                         core::content_id content)
{
    core::unconfirmed_ends ends;
    for (auto const& [target, lost] : host.m_lost_requests)
    {
        auto const count =
            std::count(lost.m_contents.begin(), lost.m_contents.end(), content);
        if (count > 0 && lost.m_reported_count == 0 &&
            now() - lost.m_since < max_confirmation_time)
        {
            ++ends.m_count;
            ends.m_weight += static_cast<double>(count) / lost.m_count;
        }
    }
    return ends;
}

/// Finds out whether the target still accepts connections.
void check_target(entry_host& host, core::target_id target)
{
    host.m_connect_checker->check(
        host.m_targets.at(target).m_endpoint, check_timeout,
        [&host, target, started_at = now()](net::connect_result result)
        {
            if (result == net::connect_result::refused)
            {
                on_target_ended(host, target);
            }
            else if (result == net::connect_result::accepted)
            {
                on_target_alive(host, target, started_at);
            }
        });
}

std::uint64_t hash_target(target_record const& target)
{
    auto const text = target.m_service + '/' + target.m_name + '@' +
                      target.m_endpoint.m_address + ':' +
                      std::to_string(target.m_endpoint.m_port);
    return XXH64(text.data(), text.size(), 0);
}

} // namespace

core::content_id make_content_id(net::http_request const& request,
                                 std::string_view caller)
{
    auto const add = [](std::uint64_t hash, std::string_view text)
    {
        return XXH64(text.data(), text.size(), hash);
    };
    auto hash = add(0, request.m_method);
    hash = add(hash, net::find_header(request.m_headers, "Host").value_or(""));
    hash = add(hash, request.m_uri);
    hash = add(hash, caller);
    return {add(hash, request.m_body)};
}

bool refuse_if_suspect(entry_host& host, active_call& call)
{
    // Access keys are not hashed. The owner of the pool does not know them.
    auto const& request = call.m_accepted.m_request;
    auto const caller =
        has_customers(call)
            ? std::string_view(call.m_customer)
            : net::find_header(request.m_headers, "Authorization").value_or("");
    auto const content = make_content_id(request, caller);
    call.m_content = content;
    auto const verdict =
        core::judge_request(host.m_crash_suspects, content,
                            count_unconfirmed(host, content), now());
    call.m_target_ends = verdict.m_target_ends;
    if (verdict.m_is_refused)
    {
        host.m_metrics.count_event("suspect_refused");
        call.m_retry_after = verdict.m_retry_after;
        fail_call(host, call, result_code::request_suspected);
        return true;
    }
    if (verdict.m_is_trial)
    {
        logging::write(logging::level::info, "serve.crashes",
                       "suspected request is let through",
                       {{"content", to_text(content)},
                        {"request_id", call.m_accepted.m_request_id}});
        share_records(host, {content});
    }
    return false;
}

void on_attempt_lost(entry_host& host, active_call const& call,
                     core::target_id target, bool has_answer_begun)
{
    auto& lost = host.m_lost_requests[target];
    if (now() - lost.m_since > loss_window)
    {
        lost = {};
        lost.m_since = now();
        check_target(host, target);
    }
    ++lost.m_count;
    if (!has_answer_begun)
    {
        lost.m_contents.push_back(call.m_content);
    }
}

void on_target_ended(entry_host& host, core::target_id target)
{
    auto const found = host.m_lost_requests.find(target);
    if (found == host.m_lost_requests.end() ||
        now() - found->second.m_since > max_confirmation_time ||
        found->second.m_count == found->second.m_reported_count)
    {
        return;
    }
    found->second.m_reported_count = found->second.m_count;
    auto const lost = found->second;
    std::map<core::content_id, int> counts;
    for (auto const content : lost.m_contents)
    {
        ++counts[content];
    }
    auto const& record = host.m_targets.at(target);
    for (auto const& [content, count] : counts)
    {
        auto const weight = count / static_cast<double>(lost.m_count);
        bool const was_suspect =
            core::is_suspect(host.m_crash_suspects, content);
        auto const change = core::record_crash(
            host.m_crash_suspects, content,
            {hash_target(record), lost.m_since, weight}, now());
        logging::write(
            logging::level::info, "serve.crashes",
            "target ended while it ran the request",
            {{"target", record.m_name},
             {"content", to_text(content)},
             {"weight", absl::StrFormat("%.2f", weight)},
             {"counts",
              change == core::record_change::changed ? "yes" : "no"}});
        if (change == core::record_change::changed)
        {
            host.m_unshared_contents.insert(content);
            apply_change(host, content, was_suspect);
        }
    }
}

void on_target_alive(entry_host& host, core::target_id target,
                     core::time_point sent_at)
{
    auto const found = host.m_lost_requests.find(target);
    if (found != host.m_lost_requests.end() && sent_at >= found->second.m_since)
    {
        host.m_lost_requests.erase(found);
    }
}

void on_content_answered(entry_host& host, active_call const& call)
{
    bool const was_suspect =
        core::is_suspect(host.m_crash_suspects, call.m_content);
    if (core::record_answer(host.m_crash_suspects, call.m_content, now()))
    {
        host.m_unshared_contents.insert(call.m_content);
        apply_change(host, call.m_content, was_suspect);
    }
}

void on_crash_suspects(entry_host& host,
                       net::crash_suspects_message const& message)
{
    for (auto const& entry : message.m_entries)
    {
        bool const was_suspect =
            core::is_suspect(host.m_crash_suspects, entry.m_content);
        auto const change = core::merge_record(
            host.m_crash_suspects, entry.m_content, to_record(entry), now());
        if (change == core::record_change::contradicted)
        {
            host.m_unshared_contents.insert(entry.m_content);
        }
        if (change != core::record_change::none)
        {
            apply_change(host, entry.m_content, was_suspect);
        }
    }
}

void send_crash_suspects(entry_host& host, std::string const& peer)
{
    net::crash_suspects_message message;
    for (auto const& [content, record] : host.m_crash_suspects.m_records)
    {
        message.m_entries.push_back(to_entry(content, record));
    }
    if (!message.m_entries.empty())
    {
        static_cast<void>(host.m_peer_network->send(peer, message));
    }
}

void maintain_crash_suspects(entry_host& host)
{
    if (!host.m_unshared_contents.empty())
    {
        share_records(host, {host.m_unshared_contents.begin(),
                             host.m_unshared_contents.end()});
        host.m_unshared_contents.clear();
    }
    core::remove_expired_records(host.m_crash_suspects, now());
    std::erase_if(
        host.m_lost_requests, [](auto const& entry)
        { return now() - entry.second.m_since > max_confirmation_time; });
}

} // namespace hawthornspur::serve
