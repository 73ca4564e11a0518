#include "core/newest_document.hpp"

namespace hawthornspur::core
{

namespace
{

bool come_into_doubt(newest_document& newest, document_position position,
                     time_point now)
{
    if (newest.m_unused && *newest.m_unused >= position)
    {
        return false;
    }
    newest.m_unused = position;
    newest.m_unused_since = now;
    return true;
}

} // namespace

bool record_read_document(newest_document& newest, document_position position,
                          bool is_in_force, time_point now)
{
    if (newest.m_read && position < *newest.m_read)
    {
        // A stale copy, or a late answer.
        return false;
    }
    newest.m_read = position;
    if (!is_in_force)
    {
        return come_into_doubt(newest, position, now);
    }
    if (newest.m_unused && *newest.m_unused <= position)
    {
        newest.m_unused.reset();
    }
    return false;
}

bool record_reported_document(newest_document& newest,
                              document_position position, time_point now)
{
    bool const has_read_it = newest.m_read && *newest.m_read >= position;
    bool const is_replaced =
        newest.m_used_elsewhere && *newest.m_used_elsewhere > position;
    return !has_read_it && !is_replaced &&
           come_into_doubt(newest, position, now);
}

void record_used_document(newest_document& newest, document_position position,
                          std::uint64_t generation)
{
    if (!newest.m_used_elsewhere || *newest.m_used_elsewhere < position)
    {
        newest.m_used_elsewhere = position;
        newest.m_generation_elsewhere = generation;
    }
}

void settle_doubt(newest_document& newest, std::uint64_t generation_in_force)
{
    if (newest.m_unused && newest.m_used_elsewhere &&
        *newest.m_unused < *newest.m_used_elsewhere &&
        generation_in_force >= newest.m_generation_elsewhere)
    {
        newest.m_unused.reset();
    }
}

void record_confirmed_document(newest_document& newest, time_point time)
{
    if (newest.m_unused && time > newest.m_unused_since)
    {
        newest.m_unused.reset();
    }
}

void record_restored_store(newest_document& newest)
{
    newest.m_read.reset();
    newest.m_used_elsewhere.reset();
    if (newest.m_unused)
    {
        newest.m_unused = document_position{};
    }
}

bool is_in_doubt(newest_document const& newest) noexcept
{
    return newest.m_unused.has_value();
}

} // namespace hawthornspur::core
