#ifndef HAWTHORNSPUR_PLATFORM_FAKE_PLATFORM_TEST_HPP
#define HAWTHORNSPUR_PLATFORM_FAKE_PLATFORM_TEST_HPP

#include "platform/platform_calls.hpp"
#include "platform/scheduler.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace hawthornspur::platform
{

enum class fault : std::uint8_t
{
    none,
    /// The call fails without effect.
    down,
    /// The answer takes a second.
    slow,
    /// A read returns the previous value of the key.
    stale_read,
    /// The call takes effect, but its answer is store_unavailable.
    answer_lost,
    /// The call takes effect, but is never answered.
    silent,
    /// A read returns a value whose last byte is altered.
    damaged_read,
};

/// A platform in virtual time. Hooks choose the fault and the delay of each
/// call; calls are numbered from 0. It must outlive all calls.
struct fake_platform
{
    struct entry
    {
        std::vector<stored_value> m_versions;
    };

    core::time_point m_now{};
    std::multimap<core::time_point, std::function<void()>> m_tasks;
    std::map<std::string, entry> m_entries;
    std::map<std::string, core::time_point> m_leases;
    std::uint64_t m_revision = 0;
    store_epoch m_epoch = 1;
    std::uint64_t m_call_count = 0;
    std::vector<core::time_point> m_call_times;
    std::function<fault(std::uint64_t call, std::string const& key)>
        m_choose_fault = [](std::uint64_t, std::string const&)
    {
        return fault::none;
    };
    std::function<core::duration()> m_choose_delay = []
    {
        return std::chrono::milliseconds(1);
    };
    /// Called after each write that took effect.
    std::function<void(std::string const& key, std::string const& value)>
        m_on_write = [](std::string const&, std::string const&) {
        };

    scheduler make_scheduler()
    {
        return {[this] { return m_now; },
                [this](core::duration delay, std::function<void()> task)
                {
                    m_tasks.emplace(m_now + delay, std::move(task));
                }};
    }

    /// Runs all tasks, including those added meanwhile.
    void run()
    {
        while (!m_tasks.empty())
        {
            auto const first = m_tasks.extract(m_tasks.begin());
            m_now = first.key();
            first.mapped()();
        }
    }

    stored_value const* newest(std::string const& key) const
    {
        auto const found = m_entries.find(key);
        return found == m_entries.end() ? nullptr
                                        : &found->second.m_versions.back();
    }

    /// Comes back from the state at `revision`: later ones are given out again.
    void restore(std::uint64_t revision)
    {
        for (auto& [key, entry] : m_entries)
        {
            std::erase_if(entry.m_versions, [&](stored_value const& version)
                          { return version.m_version.m_revision > revision; });
        }
        std::erase_if(m_entries, [](auto const& item)
                      { return item.second.m_versions.empty(); });
        m_revision = revision;
        ++m_epoch;
    }

    platform_calls make_calls()
    {
        platform_calls calls;
        calls.m_get = [this](std::string key, callback<stored_value> done)
        {
            get(std::move(key), std::move(done));
        };
        calls.m_watch = [this](std::string const& key, std::uint64_t after,
                               core::duration wait, callback<stored_value> done)
        {
            watch(key, after, m_now + wait, std::move(done));
        };
        calls.m_compare_and_swap = [this](std::string key, std::string value,
                                          key_version const& replaced,
                                          callback<std::uint64_t> done)
        {
            swap(std::move(key), std::move(value), replaced, std::move(done));
        };
        calls.m_create_lease =
            [this](core::duration lifetime, callback<std::string> done)
        {
            auto name = "lease-" + std::to_string(m_leases.size());
            m_leases[name] = m_now + lifetime;
            answer<std::string>("leases", name, std::move(done));
        };
        calls.m_renew_lease =
            [this](std::string const& lease, callback<std::monostate> done)
        {
            auto const found = m_leases.find(lease);
            result<std::monostate> outcome = std::monostate{};
            if (found == m_leases.end() || found->second <= m_now)
            {
                outcome = make_error(result_code::not_found, "lapsed");
            }
            answer<std::monostate>("leases", outcome, std::move(done));
        };
        calls.m_list_hosts = [this](callback<std::vector<listed_host>> done)
        {
            answer<std::vector<listed_host>>(
                "hosts", std::vector<listed_host>{}, std::move(done));
        };
        return calls;
    }

private:
    fault next_fault(std::string const& key)
    {
        m_call_times.push_back(m_now);
        return m_choose_fault(m_call_count++, key);
    }

    template <class T>
    void answer_with(fault kind, result<T> outcome, callback<T> done)
    {
        if (kind == fault::silent)
        {
            return;
        }
        if (kind == fault::down || kind == fault::answer_lost)
        {
            outcome = make_error(result_code::store_unavailable, "down");
        }
        auto const delay = kind == fault::slow
                               ? core::duration(std::chrono::seconds(1))
                               : m_choose_delay();
        m_tasks.emplace(m_now + delay,
                        [done = std::move(done), outcome = std::move(outcome)]
                        { done(outcome); });
    }

    template <class T>
    void answer(std::string const& key, result<T> outcome, callback<T> done)
    {
        answer_with<T>(next_fault(key), std::move(outcome), std::move(done));
    }

    result<stored_value> read(std::string const& key, fault kind) const
    {
        auto found = read_version(key, kind);
        if (has_value(found))
        {
            value(found).m_version.m_epoch = m_epoch;
        }
        return found;
    }

    result<stored_value> read_version(std::string const& key, fault kind) const
    {
        auto const found = m_entries.find(key);
        if (found == m_entries.end())
        {
            return make_error(result_code::not_found, "no key");
        }
        auto const& versions = found->second.m_versions;
        if (kind == fault::stale_read)
        {
            if (versions.size() < 2)
            {
                return make_error(result_code::not_found, "no key yet");
            }
            return versions[versions.size() - 2];
        }
        auto value = versions.back();
        if (kind == fault::damaged_read && !value.m_value.empty())
        {
            value.m_value.back() ^= 1;
        }
        return value;
    }

    void get(std::string key, callback<stored_value> done)
    {
        auto const kind = next_fault(key);
        // The read takes effect between request and answer, which lets other
        // calls interleave with it.
        m_tasks.emplace(
            m_now + m_choose_delay(),
            [this, kind, key = std::move(key), done = std::move(done)]
            { answer_with<stored_value>(kind, read(key, kind), done); });
    }

    void swap(std::string key, std::string value, key_version replaced,
              callback<std::uint64_t> done)
    {
        auto const kind = next_fault(key);
        m_tasks.emplace(
            m_now + m_choose_delay(),
            [this, kind, key = std::move(key), value = std::move(value),
             replaced, done = std::move(done)]
            {
                if (kind == fault::down)
                {
                    answer_with<std::uint64_t>(kind, std::uint64_t{0}, done);
                    return;
                }
                answer_with<std::uint64_t>(kind, write(key, value, replaced),
                                           done);
            });
    }

    result<std::uint64_t> write(std::string const& key,
                                std::string const& value,
                                key_version const& replaced)
    {
        auto const* current = newest(key);
        auto const revision =
            current == nullptr ? 0 : current->m_version.m_revision;
        if (revision != replaced.m_revision ||
            (replaced.m_epoch != 0 && replaced.m_epoch != m_epoch))
        {
            return make_error(result_code::version_conflict, "revision");
        }
        m_entries[key].m_versions.push_back({value, {++m_revision, 0}});
        m_on_write(key, value);
        return m_revision;
    }

    void watch(std::string const& key, std::uint64_t after,
               core::time_point until, callback<stored_value> done)
    {
        watch_until(key, after, until, next_fault(key), std::move(done));
    }

    void watch_until(std::string const& key, std::uint64_t after,
                     core::time_point until, fault kind,
                     callback<stored_value> done)
    {
        auto const* current = newest(key);
        if (kind != fault::none ||
            (current != nullptr && current->m_version.m_revision > after))
        {
            answer_with<stored_value>(kind, read(key, kind), std::move(done));
            return;
        }
        if (m_now >= until)
        {
            answer_with<stored_value>(
                kind, make_error(result_code::not_found, "no change"),
                std::move(done));
            return;
        }
        m_tasks.emplace(m_now + std::chrono::milliseconds(10),
                        [this, key, after, until, kind, done = std::move(done)]
                        { watch_until(key, after, until, kind, done); });
    }
};

} // namespace hawthornspur::platform

#endif
