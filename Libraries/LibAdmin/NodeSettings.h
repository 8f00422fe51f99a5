#pragma once

#include <LibBase/Address.h>
#include <LibBase/Clock.h>
#include <LibBase/EnumNames.h>
#include <LibBase/LastReason.h>
#include <LibBase/Logger.h>
#include <LibCalls/CallHeaders.h>
#include <LibCalls/Comparison.h>
#include <LibCalls/RetryBudget.h>
#include <LibConfig/Labels.h>

#include <boost/json/value.hpp>
#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace radishcross::admin {

/// What a token's holder may do; each role includes those before it.
enum class Role : uint8_t { Reader, Publisher, Administrator };

constexpr base::EnumName<Role> RoleNames[] = {
    {Role::Reader, "reader"},
    {Role::Publisher, "publisher"},
    {Role::Administrator, "administrator"},
};

/// One administration token; the token itself is never kept.
struct Token {
  std::string Name;
  std::string Sha256; ///< 64 hexadecimal digits.
  std::string Team;
  Role GrantedRole = Role::Reader;

  bool operator==(const Token &) const = default;
};

/// Settings of one node, read from JSON:
/// {"node", "data_centre", "region", "labels",
///  "listen": {"calls", "mesh", "gossip", "peer", "targets", "administration",
///  "metrics"},
///  "platform": {"addresses": []}, "seeds": [], "seed_hosts": [],
///  "mesh_keys": [], "tokens": [],
///  "log": {"level", "format"}, "tailers_per_data_centre", "drain_seconds"}
struct NodeSettings {
  std::string Node;
  std::string DataCentre;
  std::string Region;
  config::Labels Labels;
  base::Address Calls;          ///< Callers, HTTP.
  base::Address Mesh;           ///< Calls of other nodes, HTTP.
  base::Address Gossip;         ///< UDP.
  base::Address Peer;           ///< Cap'n Proto RPC.
  base::Address Targets;        ///< Announcements of this VM's targets, HTTP.
  base::Address Administration; ///< Operators, HTTP.
  base::Address Metrics;        ///< Metrics alone, HTTP; no host: none.
  std::vector<base::Address> Platform;
  /// The platform's operator writes a configuration, without which the node
  /// does not serve.
  bool HasOperatorConfiguration = false;
  /// Where this VM's target listens; heartbeats of others are refused. Without
  /// it any address is taken.
  std::optional<base::Address> TargetAddress;
  /// From the store's acknowledgement of the operator's configuration to its
  /// being in force here.
  base::Duration InForceBound = std::chrono::seconds(2);
  /// What the thinnest link of a node carries.
  uint64_t LeastLinkBytesPerSecond = 875'000;
  std::string Service; ///< That of this VM's target; targets see it as caller.
  calls::CallHeaders CallHeaders;
  calls::RetryLimits Retries;
  calls::Comparison Compared;
  base::Duration TargetLease = std::chrono::seconds(3);
  size_t RecordingBytes = 16UL << 20; ///< For decisions kept for replay.
  std::vector<base::Address> Seeds;   ///< Gossip addresses of other nodes.
  /// Hosts where other nodes may run, with this node's own gossip port.
  std::vector<base::Address> SeedHosts;
  /// All nodes start now, for the first time: nobody serves yet, so they take
  /// their time to meet before they ask the store.
  bool IsFirstStart = false;
  std::vector<std::string> MeshKeys;
  /// No key is given: the network between the nodes is trusted.
  bool TrustsNetwork = false;
  std::vector<Token> Tokens;
  base::LogSettings Log;
  uint32_t TailersPerDataCentre = 2;
  uint32_t DrainSeconds = 30;
};

/// Returns the JSON Schema of the settings (NodeSettings.schema.json).
std::string_view nodeSettingsSchemaText();

/// Checks \p document against the schema, then by meaning, and returns the
/// settings. Fails with a 1xxx code; the reason names the key's path, what was
/// found and what is expected. Labels get "data_centre" and "region".
std::optional<NodeSettings>
decodeNodeSettings(const boost::json::value &document,
                   base::LastReason &reason);

/// The same for the text of a settings file.
std::optional<NodeSettings> parseNodeSettings(std::string_view text,
                                              base::LastReason &reason);

/// Reads and checks a settings file. Fails with a 1xxx code; the reason names
/// the key's path, what was found and what is expected.
std::optional<NodeSettings> loadNodeSettings(const std::string &path,
                                             base::LastReason &reason);

} // namespace radishcross::admin
