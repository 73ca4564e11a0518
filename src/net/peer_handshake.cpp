#include "net/peer_handshake.hpp"

#include "net/message_auth.hpp"
#include "net/msgpack_fields.hpp"
#include "net/peer_wire.hpp"

#include <exception>

namespace hawthornspur::net
{

namespace
{

template <class Read>
auto decode_message(std::string_view bytes, wire_type type, Read read)
    -> result<decltype(read(std::declval<field_reader&>()))>
{
    auto unpacked = unpack_message(bytes);
    if (!has_value(unpacked))
    {
        return failure(unpacked);
    }
    if (value(unpacked).m_type != static_cast<std::uint32_t>(type))
    {
        return make_error(result_code::unexpected_message,
                          "unexpected message in the handshake");
    }
    try
    {
        field_reader reader(value(unpacked).m_handle.get());
        reader.next();
        reader.next();
        return read(reader);
    }
    catch (std::exception const& problem)
    {
        return make_error(result_code::frame_malformed, problem.what());
    }
}

} // namespace

std::string encode_hello(peer_hello const& hello)
{
    std::string out;
    field_writer writer(out, static_cast<std::uint32_t>(wire_type::hello), 5);
    writer.put(hello.m_host);
    writer.put(hello.m_incarnation);
    writer.put_bytes(hello.m_nonce);
    writer.put(hello.m_destination_host);
    writer.put(hello.m_earlier_link_count);
    return out;
}

result<peer_hello> decode_hello(std::string_view bytes)
{
    return decode_message(
        bytes, wire_type::hello,
        [](field_reader& reader)
        {
            peer_hello hello;
            hello.m_host = reader.get<std::string>();
            hello.m_incarnation = reader.get<std::uint64_t>();
            hello.m_nonce = reader.get<std::string>();
            hello.m_destination_host = reader.get<std::string>();
            hello.m_earlier_link_count = reader.get<std::uint64_t>();
            if (hello.m_nonce.size() != nonce_bytes || hello.m_host.empty())
            {
                throw msgpack::type_error();
            }
            return hello;
        });
}

std::string encode_proof(std::string_view proof)
{
    std::string out;
    field_writer writer(out, static_cast<std::uint32_t>(wire_type::hello_proof),
                        1);
    writer.put_bytes(proof);
    return out;
}

result<std::string> decode_proof(std::string_view bytes)
{
    return decode_message(bytes, wire_type::hello_proof,
                          [](field_reader& reader)
                          { return reader.get<std::string>(); });
}

link_secrets derive_secrets(std::string_view shared_key,
                            std::string_view initiator_hello,
                            std::string_view responder_hello)
{
    message_authenticator root(shared_key);
    // The concatenation is unambiguous, since msgpack arrays are
    // self-delimiting.
    auto const derive = [&](std::string_view label)
    {
        auto const tag = root.tag({label, initiator_hello, responder_hello});
        return std::string(full_view(tag));
    };
    return {derive("hawthornspur initiator proof"),
            derive("hawthornspur responder proof"),
            derive("hawthornspur initiator frames"),
            derive("hawthornspur responder frames")};
}

} // namespace hawthornspur::net
