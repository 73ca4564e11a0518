// Time of the look-up of an access key, and of that with the check of the
// quota, per request; and the memory of 10,000 customers with 10 keys each.

#include "core/customers.hpp"
#include "core/quota_allowance.hpp"
#include "core/quota_home.hpp"
#include "core/quota_ledger.hpp"

#include <benchmark/benchmark.h>
#include <malloc.h>

#include <cstdint>
#include <cstdio>
#include <random>
#include <string>
#include <vector>

namespace
{

using namespace hawthornspur::core;

constexpr std::size_t customer_count = 10'000;
constexpr std::size_t keys_per_customer = 10;
constexpr quota_margin margin{0.1, 20};

std::string make_key(std::size_t customer, std::size_t key)
{
    // As long as keys of operators usually are.
    return "key-0123456789abcdef-" + std::to_string(customer) + "-" +
           std::to_string(key);
}

std::vector<customer_config> make_customers()
{
    std::vector<customer_config> customers(customer_count);
    for (std::size_t i = 0; i < customer_count; ++i)
    {
        customers[i].m_name = "customer-" + std::to_string(i);
        customers[i].m_rate = 1e6;
        customers[i].m_burst = 1e6;
        for (std::size_t j = 0; j < keys_per_customer; ++j)
        {
            customers[i].m_access_keys.push_back(make_key(i, j));
        }
    }
    return customers;
}

/// Keys in random order, so that the caches do not hold what comes next.
std::vector<std::string> make_requests()
{
    constexpr std::size_t request_count = 1U << 16U;
    std::mt19937_64 random(1);
    std::vector<std::string> keys(request_count);
    for (auto& key : keys)
    {
        key = make_key(random() % customer_count, random() % keys_per_customer);
    }
    return keys;
}

std::size_t allocated_bytes()
{
    return mallinfo2().uordblks + mallinfo2().hblkhd;
}

void look_up_keys(benchmark::State& state)
{
    auto const table = make_customer_table(make_customers());
    auto const keys = make_requests();
    std::size_t next = 0;
    for (auto run : state)
    {
        benchmark::DoNotOptimize(
            find_customer_by_key(*table, keys[next++ % keys.size()]));
    }
}
BENCHMARK(look_up_keys);

/// A host that is the home of all customers, so that each question is included.
void look_up_keys_and_check_quotas(benchmark::State& state)
{
    auto const table = make_customer_table(make_customers());
    auto const keys = make_requests();
    std::vector<std::string> const homes{"host-a", "host-b", "host-c",
                                         "host-d"};
    time_point now(std::chrono::seconds(100));
    quota_ledger ledger;
    set_share(ledger, 1, now);
    std::vector<quota_customer> own;
    for (auto const& customer : customers(*table))
    {
        own.push_back({customer.m_name, {customer.m_rate, customer.m_burst}});
    }
    set_limits(ledger, own, margin, now - std::chrono::seconds(10));
    name_map<quota_allowance> allowances;
    std::size_t next = 0;
    std::size_t admitted = 0;
    for (auto run : state)
    {
        now += std::chrono::microseconds(100);
        auto const* by_key =
            find_customer_by_key(*table, keys[next++ % keys.size()]);
        auto const* customer = find_customer(*table, by_key->m_name);
        auto& allowance = allowances[customer->m_name];
        allowance.m_max_batch =
            max_batch({customer->m_rate, customer->m_burst}, margin);
        record_demand(allowance, now);
        if (take(allowance, now) == quota_decision::wait)
        {
            benchmark::DoNotOptimize(
                choose_quota_home(homes, customer->m_name));
            auto const need = make_question(allowance, 1, now);
            quota_demand const demand{customer->m_name, "host-a", need.m_wanted,
                                      need.m_used, need.m_unused};
            report_unused(ledger, demand, now);
            auto const granted = grant(ledger, demand, now);
            on_grant(allowance, now, granted.m_tokens, granted.m_next_token,
                     now);
            admitted += take(allowance, now) == quota_decision::admitted;
        }
        else
        {
            ++admitted;
        }
    }
    if (admitted != next)
    {
        state.SkipWithError("a request within the limit was not admitted");
    }
}
BENCHMARK(look_up_keys_and_check_quotas);

void report_memory()
{
    auto const before = allocated_bytes();
    auto const table = make_customer_table(make_customers());
    auto const with_table = allocated_bytes();
    quota_ledger ledger;
    name_map<quota_allowance> allowances;
    std::vector<quota_customer> own;
    for (auto const& customer : customers(*table))
    {
        own.push_back({customer.m_name, {customer.m_rate, customer.m_burst}});
        auto& allowance = allowances[customer.m_name];
        on_grant(allowance, {}, 2, {}, {});
    }
    set_limits(ledger, own, margin, {});
    own = {};
    auto const with_quotas = allocated_bytes();
    std::printf("%zu customers with %zu keys each: table %.1f MB, quotas "
                "%.1f MB\n",
                customer_count, keys_per_customer,
                static_cast<double>(with_table - before) / 1e6,
                static_cast<double>(with_quotas - with_table) / 1e6);
}

} // namespace

int main(int argc, char** argv)
{
    report_memory();
    benchmark::Initialize(&argc, argv);
    benchmark::RunSpecifiedBenchmarks();
    return 0;
}
