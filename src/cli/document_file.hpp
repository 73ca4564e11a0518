#ifndef HAWTHORNSPUR_CLI_DOCUMENT_FILE_HPP
#define HAWTHORNSPUR_CLI_DOCUMENT_FILE_HPP

#include "base/result.hpp"
#include "cli/command.hpp"
#include "core/configuration.hpp"

#include <string>

namespace hawthornspur::cli
{

/// Reads and checks a document; "-" is the standard input. The error's message
/// has one line for each fault.
result<core::configuration> read_document(std::string const& path);

/// Prints an error as every command does and returns its exit code.
exit_code print_error(error const& fault);

/// Prints that the operands are wrong.
exit_code print_usage(std::string const& message);

} // namespace hawthornspur::cli

#endif
