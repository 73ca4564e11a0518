#include "core/store_position.hpp"

namespace hawthornspur::core
{

read_order compare_read(store_position const& known, std::uint64_t epoch,
                        std::uint64_t revision, bool may_be_stale) noexcept
{
    if (!known.m_revision && known.m_epoch == 0)
    {
        return read_order::current;
    }
    if (epoch != known.m_epoch)
    {
        return epoch > known.m_epoch ? read_order::restored
                                     : read_order::outdated;
    }
    if (!known.m_revision || revision >= *known.m_revision)
    {
        return read_order::current;
    }
    return may_be_stale ? read_order::outdated : read_order::restored;
}

} // namespace hawthornspur::core
