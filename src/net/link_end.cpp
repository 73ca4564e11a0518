#include "net/link_end.hpp"

namespace hawthornspur::net
{

std::string_view to_string(link_end_reason reason) noexcept
{
    switch (reason)
    {
    case link_end_reason::closed_by_peer:
        return "closed_by_peer";
    case link_end_reason::silent:
        return "silent";
    case link_end_reason::frame_refused:
        return "frame_refused";
    case link_end_reason::replaced:
        return "replaced";
    case link_end_reason::unlisted:
        break;
    }
    return "unlisted";
}

} // namespace hawthornspur::net
