#ifndef HAWTHORNSPUR_CLI_DOCUMENT_FILE_HPP
#define HAWTHORNSPUR_CLI_DOCUMENT_FILE_HPP

#include "base/result.hpp"
#include "cli/command.hpp"
#include "core/configuration.hpp"

#include <string>

namespace hawthornspur::cli
{

/// Reads a file, or the standard input for "-". Errors: file_unreadable.
result<std::string> read_text(std::string const& path);

/// Reads and checks a document; "-" reads the standard input. Errors:
/// file_unreadable, or the code of the first fault with a message that has one
/// line for each fault.
result<core::configuration> read_document(std::string const& path);

/// Prints the message, number and name of an error to the standard error.
/// Returns its exit code.
exit_code print_error(error const& fault);

/// Prints a usage error and returns its exit code.
exit_code print_usage(std::string const& message);

} // namespace hawthornspur::cli

#endif
