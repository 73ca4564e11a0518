#include "cli/document_file.hpp"

#include "config/document.hpp"

#include <fstream>
#include <ios>
#include <iostream>
#include <iterator>
#include <utility>

namespace hawthornspur::cli
{

result<std::string> read_text(std::string const& path)
{
    std::string text;
    if (path == "-")
    {
        text.assign(std::istreambuf_iterator<char>(std::cin), {});
    }
    else
    {
        std::ifstream file(path, std::ios::binary);
        auto is_read = static_cast<bool>(file);
        try
        {
            text.assign(std::istreambuf_iterator<char>(file), {});
        }
        catch (std::ios_base::failure const&)
        {
            // A directory can be opened but not read.
            is_read = false;
        }
        if (!is_read)
        {
            return make_error(result_code::file_unreadable,
                              path + " cannot be read");
        }
    }
    return text;
}

result<core::configuration> read_document(std::string const& path)
{
    auto const text = read_text(path);
    if (!has_value(text))
    {
        return failure(text);
    }
    auto parsed = config::parse_document(value(text));
    if (auto const* faults = std::get_if<config::fault_list>(&parsed))
    {
        return make_error(faults->front().m_code,
                          path + " has " + std::to_string(faults->size()) +
                              " faults:\n" + config::describe(*faults));
    }
    return std::get<core::configuration>(std::move(parsed));
}

exit_code print_error(error const& fault)
{
    std::cerr << "hawthornspur: " << fault.m_message
              << (fault.m_message.ends_with('\n') ? "" : " ") << "("
              << static_cast<unsigned>(fault.m_code) << " "
              << info(fault.m_code).m_name << ")\n";
    return to_exit_code(fault.m_code);
}

exit_code print_usage(std::string const& message)
{
    return print_error(make_error(result_code::usage, message));
}

} // namespace hawthornspur::cli
