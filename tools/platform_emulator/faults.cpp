#include "platform_emulator/faults.hpp"

namespace hawthornspur::tools
{

json_fields get_fields(platform_faults& faults)
{
    return {
        {"outage", &faults.m_outage},
        {"silent", &faults.m_silent},
        {"delay_ms", &faults.m_delay},
        {"delay_jitter_ms", &faults.m_delay_jitter},
        {"list_lag_ms", &faults.m_list_lag},
        {"stale_reads_ms", &faults.m_stale_reads},
        {"lost_answers", &faults.m_lost_answers},
        {"silent_watches", &faults.m_silent_watches},
        {"writes_per_second", &faults.m_writes_per_second},
        {"reads_per_second", &faults.m_reads_per_second},
    };
}

} // namespace hawthornspur::tools
