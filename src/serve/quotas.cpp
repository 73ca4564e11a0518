#include "serve/quotas.hpp"

namespace hawthornspur::serve
{

bool admit_to_quota(entry_host& /*host*/, active_call& /*call*/)
{
    return true;
}

void return_quota(entry_host& /*host*/, active_call& /*call*/) {}

} // namespace hawthornspur::serve
