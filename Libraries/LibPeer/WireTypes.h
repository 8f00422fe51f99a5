#pragma once

#include <LibFleet/Gossip.h>
#include <LibPeer/Peer.capnp.h>

#include <capnp/message.h>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

/// Conversions between LibFleet's types and Cap'n Proto's, shared by the
/// codecs. Readers throw kj::Exception on malformed input, which
/// unpackMessage() catches.
namespace radishcross::peer {

/// Largest number of members, records or buckets in one message.
constexpr uint32_t MaximumListItems = 65536;

/// Serialises a message in Cap'n Proto's packed encoding.
std::string packMessage(capnp::MessageBuilder &message);

/// Calls \p read with a reader of the message. Returns false if the bytes are
/// not a message of at most \p maximumWords 8-byte words, or if \p read returns
/// false.
bool unpackMessage(std::string_view bytes, uint64_t maximumWords,
                   const std::function<bool(capnp::MessageReader &)> &read);

void writeMember(wire::Member::Builder builder, const fleet::Member &member,
                 bool hasContent);
bool readMember(wire::Member::Reader reader, fleet::MemberUpdate &update);
void writeDigest(wire::Digest::Builder builder, const fleet::Digest &digest);
fleet::Digest readDigest(wire::Digest::Reader reader);

/// Copies a text into \p text; returns false if it exceeds \p maximum bytes.
bool readText(capnp::Text::Reader reader, size_t maximum, std::string &text);

constexpr size_t MaximumIdBytes = 128;

} // namespace radishcross::peer
