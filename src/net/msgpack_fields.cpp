#include "net/msgpack_fields.hpp"

#include <exception>
#include <utility>

namespace hawthornspur::net
{

namespace
{

/// Valid messages nest at most 4 arrays. Deeper nesting only consumes stack.
constexpr std::size_t max_depth = 8;
/// Limit of the elements of one array. msgpack allocates memory for the
/// announced size, which a few bytes could set to gigabytes.
constexpr std::size_t max_array_elements = 16384;
constexpr std::size_t max_string_bytes = std::size_t{16} << 20U;

bool refer_to_input(msgpack::type::object_type /*type*/, std::size_t /*size*/,
                    void* /*context*/)
{
    return true;
}

} // namespace

result<unpacked_message> unpack_message(std::string_view bytes)
{
    static msgpack::unpack_limit const limits(max_array_elements, 0,
                                              max_string_bytes,
                                              max_string_bytes, 0, max_depth);
    try
    {
        std::size_t offset = 0;
        bool referenced = false;
        unpacked_message unpacked;
        unpacked.m_handle =
            msgpack::unpack(bytes.data(), bytes.size(), offset, referenced,
                            refer_to_input, nullptr, limits);
        if (offset != bytes.size())
        {
            return make_error(result_code::frame_malformed,
                              "extra bytes after the message");
        }
        field_reader fields(unpacked.m_handle.get());
        unpacked.m_type = fields.get<std::uint32_t>();
        if (fields.get<std::uint32_t>() != protocol_version)
        {
            return make_error(result_code::protocol_version_mismatch,
                              "unknown protocol version");
        }
        return unpacked;
    }
    catch (std::exception const& problem)
    {
        return make_error(result_code::frame_malformed, problem.what());
    }
}

} // namespace hawthornspur::net
