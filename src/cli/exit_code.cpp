#include "cli/command.hpp"

namespace hawthornspur::cli
{

exit_code to_exit_code(result_code code) noexcept
{
    switch (code)
    {
    case result_code::ok:
        return exit_code::success;
    case result_code::usage:
        return exit_code::usage;
    case result_code::document_syntax:
    case result_code::unknown_field:
    case result_code::wrong_type:
    case result_code::value_out_of_range:
    case result_code::unknown_reference:
    case result_code::duplicate_name:
    case result_code::missing_field:
    case result_code::document_too_large:
    case result_code::settings_invalid:
        return exit_code::invalid_file;
    case result_code::version_conflict:
    case result_code::stale_generation:
        return exit_code::conflict;
    case result_code::store_unavailable:
    case result_code::store_answer_malformed:
        return exit_code::platform_unavailable;
    case result_code::not_in_force_everywhere:
        return exit_code::not_in_force_everywhere;
    case result_code::file_unreadable:
        return exit_code::file_unreadable;
    default:
        return exit_code::failure;
    }
}

} // namespace hawthornspur::cli
