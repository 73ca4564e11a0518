#include "core/quota_ledger.hpp"

#include "core/quota_allowance.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace hawthornspur::core
{

namespace
{

using detail::outstanding_grant;
using detail::quota_account;

// Within this time all hosts know of the change of the home (rate_share.cpp).
constexpr duration home_overlap = std::chrono::seconds(2);
constexpr double overlap_share = 0.5;

// Without a margin, a customer with a small burst would never get a token.
constexpr double min_capacity = 1;

/// Grants whose ends fall into one interval of this length are one entry, which
/// bounds the entries of a host.
constexpr duration end_interval = std::chrono::milliseconds(100);

/// The host's report of what was left of an allowance arrives after its end.
constexpr duration report_delay = std::chrono::milliseconds(250);

/// Answer of a home that may not grant anything at present.
constexpr duration unknown_next_token = std::chrono::milliseconds(200);

constexpr duration max_next_token = std::chrono::seconds(60);

double outstanding_tokens(quota_account const& account)
{
    double sum = 0;
    for (auto const& grant : account.m_outstanding)
    {
        sum += grant.m_tokens;
    }
    return sum;
}

/// Capacity of the customer less the outstanding tokens beyond the transit.
double free_capacity(quota_ledger const& ledger, quota_account const& account)
{
    if (ledger.m_share <= 0)
    {
        return 0;
    }
    auto const capacity = std::max(
        min_capacity,
        ledger.m_share * quota_capacity(account.m_limits, ledger.m_margin));
    auto const transit =
        ledger.m_share * quota_transit(account.m_limits, ledger.m_margin);
    return std::max(
        0.0, capacity - std::max(0.0, outstanding_tokens(account) - transit));
}

/// Removes the grants that have ended by `now`. Each end leaves room in the
/// bucket, which fills from then on.
void end_grants(quota_ledger const& ledger, quota_account& account,
                time_point now)
{
    while (true)
    {
        auto const first = std::min_element(
            account.m_outstanding.begin(), account.m_outstanding.end(),
            [](outstanding_grant const& a, outstanding_grant const& b)
            { return a.m_ends_at < b.m_ends_at; });
        if (first == account.m_outstanding.end() || first->m_ends_at > now)
        {
            return;
        }
        auto const end = first->m_ends_at;
        account.m_outstanding.erase(first);
        set_rate(account.m_bucket, account.m_bucket.m_tokens_per_second,
                 free_capacity(ledger, account), end);
    }
}

/// Adds the tokens that arose until `now`, and applies the present rate and
/// capacity. What arose before the call arose at the former rate.
void update(quota_ledger const& ledger, quota_account& account, time_point now)
{
    end_grants(ledger, account, now);
    auto const rate_factor =
        now < account.m_home_since + home_overlap ? overlap_share : 1;
    set_rate(account.m_bucket,
             ledger.m_share * rate_factor *
                 quota_rate(account.m_limits, ledger.m_margin),
             free_capacity(ledger, account), now);
}

/// Removes up to `tokens` from what a host has outstanding, oldest first.
void settle(quota_account& account, std::string_view host, double tokens)
{
    for (auto& grant : account.m_outstanding)
    {
        if (grant.m_host == host)
        {
            auto const settled = std::min(tokens, grant.m_tokens);
            grant.m_tokens -= settled;
            tokens -= settled;
        }
    }
    std::erase_if(account.m_outstanding, [](outstanding_grant const& grant)
                  { return grant.m_tokens <= 0; });
}

void add_outstanding(quota_account& account, std::string_view host,
                     double tokens, time_point now)
{
    auto const end =
        (now + quota_allowance_lifetime + report_delay).time_since_epoch();
    time_point const rounded((end / end_interval + 1) * end_interval);
    auto const same = std::find_if(
        account.m_outstanding.begin(), account.m_outstanding.end(),
        [&](outstanding_grant const& grant)
        { return grant.m_host == host && grant.m_ends_at == rounded; });
    if (same != account.m_outstanding.end())
    {
        same->m_tokens += tokens;
        return;
    }
    account.m_outstanding.push_back({std::string(host), tokens, rounded});
}

duration time_until_token(token_bucket const& bucket)
{
    auto const missing = 1 - std::min(1.0, bucket.m_tokens);
    if (bucket.m_tokens_per_second <= 0)
    {
        return unknown_next_token;
    }
    auto const seconds =
        std::chrono::duration<double>(missing / bucket.m_tokens_per_second);
    // At least 1 ms, so that a full bucket with tokens of other hosts
    // outstanding is not asked again at once.
    return std::clamp(
        std::chrono::ceil<duration>(
            std::min(seconds, std::chrono::duration<double>(max_next_token))),
        duration(std::chrono::milliseconds(1)), max_next_token);
}

/// Starts the account of a customer that had another home or none.
void start_account(quota_ledger const& ledger, quota_account& account,
                   time_point now)
{
    if (!ledger.m_joint_start)
    {
        account.m_bucket = make_token_bucket(0, 0, now);
        account.m_home_since = now;
        return;
    }
    auto const start = *ledger.m_joint_start;
    account.m_bucket = make_token_bucket(
        ledger.m_share * quota_rate(account.m_limits, ledger.m_margin),
        free_capacity(ledger, account), start);
    account.m_home_since = start - home_overlap;
}

} // namespace

bool is_home_of(quota_ledger const& ledger, std::string_view customer)
{
    return ledger.m_accounts.contains(customer);
}

void set_limits(quota_ledger& ledger,
                std::vector<quota_customer> const& customers,
                quota_margin const& margin, time_point now)
{
    ledger.m_margin = margin;
    auto former = std::exchange(ledger.m_accounts, {});
    for (auto const& customer : customers)
    {
        auto kept = former.extract(customer.m_name);
        auto& account = ledger.m_accounts[customer.m_name];
        if (!kept.empty())
        {
            account = std::move(kept.mapped());
        }
        account.m_limits = customer.m_limits;
        if (kept.empty())
        {
            start_account(ledger, account, now);
        }
        update(ledger, account, now);
    }
}

void set_joint_start(quota_ledger& ledger, std::optional<time_point> start,
                     time_point now)
{
    bool const is_found_out = start && !ledger.m_joint_start;
    ledger.m_joint_start = start;
    if (!is_found_out)
    {
        return;
    }
    for (auto& [name, account] : ledger.m_accounts)
    {
        start_account(ledger, account, now);
        update(ledger, account, now);
    }
}

void set_share(quota_ledger& ledger, double share, time_point now)
{
    if (share == ledger.m_share)
    {
        return;
    }
    ledger.m_share = share;
    for (auto& [name, account] : ledger.m_accounts)
    {
        update(ledger, account, now);
    }
}

void reset_after_pause(quota_ledger& ledger, time_point now)
{
    for (auto& [name, account] : ledger.m_accounts)
    {
        account.m_bucket = make_token_bucket(0, 0, now);
        account.m_home_since = now;
        update(ledger, account, now);
    }
}

void report_unused(quota_ledger& ledger, quota_demand const& demand,
                   time_point now)
{
    auto const found = ledger.m_accounts.find(demand.m_customer);
    if (found == ledger.m_accounts.end())
    {
        return;
    }
    auto& account = found->second;
    settle(account, demand.m_host, demand.m_used + demand.m_unused);
    update(ledger, account, now);
    // Tokens that the capacity does not hold are lost.
    account.m_bucket.m_tokens =
        std::min(account.m_bucket.m_capacity,
                 account.m_bucket.m_tokens + demand.m_unused);
}

granted_tokens grant(quota_ledger& ledger, quota_demand const& demand,
                     time_point now)
{
    auto const found = ledger.m_accounts.find(demand.m_customer);
    if (found == ledger.m_accounts.end())
    {
        return {};
    }
    auto& account = found->second;
    update(ledger, account, now);
    auto const tokens =
        std::floor(std::min(demand.m_wanted, account.m_bucket.m_tokens));
    if (tokens > 0)
    {
        try_take(account.m_bucket, tokens, now);
        add_outstanding(account, demand.m_host, tokens, now);
        update(ledger, account, now);
    }
    return {tokens, tokens < std::floor(demand.m_wanted)
                        ? time_until_token(account.m_bucket)
                        : duration(0)};
}

} // namespace hawthornspur::core
