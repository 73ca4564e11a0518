#ifndef HAWTHORNSPUR_NET_MSGPACK_FIELDS_HPP
#define HAWTHORNSPUR_NET_MSGPACK_FIELDS_HPP

#include "base/result.hpp"
#include "core/time.hpp"

#include <msgpack.hpp>

#include <cstddef>
#include <cstdint>
#include <limits>
#include <string>
#include <string_view>

namespace hawthornspur::net
{

/// Version of the protocol, part of every message. Fields may be appended
/// without incrementing it; every other change increments it.
inline constexpr std::uint32_t protocol_version = 1;

/// Output stream for msgpack::packer that appends to a string.
struct string_sink
{
    std::string& m_out;
    void write(char const* data, std::size_t size)
    {
        m_out.append(data, size);
    }
};

/// Writes one message array [type, version, fields...]. Not copyable, since the
/// packer refers to the sink of the same object.
class field_writer
{
public:
    field_writer(field_writer const&) = delete;
    field_writer& operator=(field_writer const&) = delete;
    field_writer(std::string& out, std::uint32_t type, std::uint32_t fields)
        : m_sink{out}
        , m_packer(m_sink)
    {
        m_packer.pack_array(fields + 2);
        m_packer.pack(type);
        m_packer.pack(protocol_version);
    }

    void begin_array(std::size_t size)
    {
        m_packer.pack_array(static_cast<std::uint32_t>(size));
    }
    template <class T>
    void put(T const& number)
    {
        m_packer.pack(number);
    }
    void put(std::string const& text)
    {
        put(std::string_view(text));
    }
    void put(std::string_view text)
    {
        m_packer.pack_str(static_cast<std::uint32_t>(text.size()));
        m_packer.pack_str_body(text.data(),
                               static_cast<std::uint32_t>(text.size()));
    }
    void put_bytes(std::string_view bytes)
    {
        m_packer.pack_bin(static_cast<std::uint32_t>(bytes.size()));
        m_packer.pack_bin_body(bytes.data(),
                               static_cast<std::uint32_t>(bytes.size()));
    }
    void put(core::duration time)
    {
        m_packer.pack(static_cast<std::int64_t>(time.count()));
    }

private:
    string_sink m_sink;
    msgpack::packer<string_sink> m_packer;
};

/// Reads the elements of one array in order. Reading past the end or reading a
/// value of another type throws msgpack::type_error, which the decoders catch.
/// Elements that are not read are ignored.
class field_reader
{
public:
    explicit field_reader(msgpack::object const& array)
        : m_array(array)
    {
        if (array.type != msgpack::type::ARRAY)
        {
            throw msgpack::type_error();
        }
    }

    std::size_t size() const noexcept
    {
        return m_array.via.array.size;
    }
    /// True if no element is left; hosts of an earlier version send fewer
    /// fields.
    bool is_at_end() const noexcept
    {
        return m_next >= size();
    }
    /// Whether the next element is nil. Throws at the end.
    bool is_next_nil() const
    {
        if (is_at_end())
        {
            throw msgpack::type_error();
        }
        return m_array.via.array.ptr[m_next].is_nil();
    }
    msgpack::object const& next()
    {
        if (m_next >= size())
        {
            throw msgpack::type_error();
        }
        return m_array.via.array.ptr[m_next++];
    }
    template <class T>
    T get()
    {
        return next().as<T>();
    }
    template <class Enum>
    Enum get_enum(Enum last)
    {
        auto const number = get<std::uint8_t>();
        if (number > static_cast<std::uint8_t>(last))
        {
            throw msgpack::type_error();
        }
        return static_cast<Enum>(number);
    }
    int get_count()
    {
        auto const number = get<std::uint32_t>();
        if (number > std::uint32_t{std::numeric_limits<int>::max()})
        {
            throw msgpack::type_error();
        }
        return static_cast<int>(number);
    }
    core::duration get_duration()
    {
        return core::duration(get<std::int64_t>());
    }

private:
    msgpack::object const& m_array;
    std::size_t m_next = 0;
};

/// An unpacked message. It refers to the bytes it was unpacked from, which must
/// outlive it.
struct unpacked_message
{
    msgpack::object_handle m_handle;
    std::uint32_t m_type = 0;
};

/// Unpacks a message array and checks its version. The bytes must hold
/// exactly one value. Errors: frame_malformed, protocol_version_mismatch.
result<unpacked_message> unpack_message(std::string_view bytes);

} // namespace hawthornspur::net

#endif
