#include "serve/document_doubt.hpp"

#include "base/logging.hpp"
#include "serve/configuration_driver.hpp"
#include "serve/configuration_sync.hpp"
#include "serve/host.hpp"
#include "serve/store_sync.hpp"

#include <utility>

namespace hawthornspur::serve
{

namespace
{

std::string describe(document_read const& read, std::string const& reason)
{
    if (!read.m_use)
    {
        return reason;
    }
    return *read.m_use == core::offer_result::stale
               ? "older than the one in force"
               : "another text of the generation in force";
}

void log_doubt(entry_host& host, std::string const& source,
               std::string const& reason)
{
    host.m_metrics.count_event("document_in_doubt");
    logging::write(logging::level::error, "serve.configuration",
                   "newest document not in force, access keys are refused",
                   {{"source", source},
                    {"reason", reason},
                    {"generation", std::to_string(generation_in_force(host))}});
}

/// A document that another host sent may be newer than a read that was sent
/// before, or than a stale copy.
bool may_be_overtaken(entry_host const& host, document_read const& read)
{
    return read.m_use == core::offer_result::stale &&
           (read.m_may_be_stale ||
            read.m_asked <= host.m_configuration_sync->m_in_force_since);
}

bool is_used(document_read const& read)
{
    return read.m_use == core::offer_result::in_force ||
           read.m_use == core::offer_result::same;
}

void on_doubt_ended(entry_host& host)
{
    logging::write(logging::level::info, "serve.configuration",
                   "newest document in force again",
                   {{"generation", std::to_string(generation_in_force(host))}});
}

} // namespace

void record_document_read(entry_host& host, document_read const& read,
                          std::string const& reason)
{
    if (may_be_overtaken(host, read))
    {
        return;
    }
    auto& newest = host.m_configuration_sync->m_newest;
    bool const was_in_doubt = core::is_in_doubt(newest);
    if (core::record_read_document(newest, read.m_position, is_used(read),
                                   now()))
    {
        log_doubt(host, "store", describe(read, reason));
        announce_to_zone(host, announcement_scope::all);
    }
    else if (was_in_doubt && !core::is_in_doubt(newest))
    {
        on_doubt_ended(host);
        announce_to_zone(host, announcement_scope::all);
    }
}

void on_newest_document(entry_host& host, std::string const& from,
                        net::generation_announcement const& message)
{
    // Positions of the own document format differ between hosts, all of which
    // read the store.
    if (host.m_store_sync == nullptr)
    {
        return;
    }
    auto& newest = host.m_configuration_sync->m_newest;
    if (message.m_is_newest_used)
    {
        core::record_used_document(newest, *message.m_newest,
                                   message.m_generation);
        on_generation_in_force(host);
    }
    else if (core::record_reported_document(newest, *message.m_newest, now()))
    {
        log_doubt(host, from, "reported");
        read_configuration_now(host);
    }
}

void add_newest_document(entry_host const& host,
                         net::generation_announcement& message)
{
    auto const& newest = host.m_configuration_sync->m_newest;
    message.m_is_newest_used = !core::is_in_doubt(newest);
    message.m_newest =
        message.m_is_newest_used ? newest.m_read : newest.m_unused;
}

void on_generation_in_force(entry_host& host)
{
    auto& newest = host.m_configuration_sync->m_newest;
    bool const was_in_doubt = core::is_in_doubt(newest);
    core::settle_doubt(newest, generation_in_force(host));
    if (was_in_doubt && !core::is_in_doubt(newest))
    {
        on_doubt_ended(host);
    }
}

void on_document_confirmed(entry_host& host, core::time_point time,
                           std::uint64_t generation)
{
    auto& newest = host.m_configuration_sync->m_newest;
    if (!core::is_in_doubt(newest) || generation_in_force(host) < generation)
    {
        return;
    }
    core::record_confirmed_document(newest, time);
    if (!core::is_in_doubt(newest))
    {
        on_doubt_ended(host);
    }
}

bool is_document_in_doubt(entry_host const& host) noexcept
{
    return core::is_in_doubt(host.m_configuration_sync->m_newest);
}

} // namespace hawthornspur::serve
