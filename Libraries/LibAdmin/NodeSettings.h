#pragma once

#include <LibBalance/FeatureToggles.h>
#include <LibBalance/HedgeSettings.h>
#include <LibBase/Address.h>
#include <LibBase/Clock.h>
#include <LibBase/EnumNames.h>
#include <LibBase/LastReason.h>
#include <LibBase/Logger.h>
#include <LibCalls/CallHeaders.h>
#include <LibCalls/RetryBudget.h>
#include <LibConfig/Labels.h>
#include <LibRollout/RolloutTypes.h>
#include <LibTenants/AllotmentSettings.h>

#include <boost/json/value.hpp>
#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace radishcross::admin {

/// Permissions of a token; each role includes the previous ones.
enum class Role : uint8_t { Reader, Publisher, Administrator };

constexpr base::EnumName<Role> RoleNames[] = {
    {Role::Reader, "reader"},
    {Role::Publisher, "publisher"},
    {Role::Administrator, "administrator"},
};

/// One administration token, stored only as its hash.
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
  base::Address Calls;          ///< Calls from callers, HTTP.
  base::Address Mesh;           ///< Calls from other nodes, HTTP.
  base::Address Gossip;         ///< UDP.
  base::Address Peer;           ///< Cap'n Proto RPC.
  base::Address Targets;        ///< Heartbeats of this VM's targets, HTTP.
  base::Address Administration; ///< Operators, HTTP.
  base::Address Metrics;        ///< Only metrics, HTTP; no host disables it.
  std::vector<base::Address> Platform;
  /// The platform's operator writes a configuration; the node does not serve
  /// without it.
  bool HasOperatorConfiguration = false;
  /// Address of this VM's target; heartbeats for other addresses are refused.
  /// Without it every address is accepted.
  std::optional<base::Address> TargetAddress;
  /// Maximum time from the store's acknowledgement of the operator's
  /// configuration until it is in force on this node.
  base::Duration InForceBound = std::chrono::seconds(2);
  /// Bandwidth of a node's slowest link.
  uint64_t LeastLinkBytesPerSecond = 875'000;
  /// Bandwidth of this VM's own link; 0: unknown, so answers are not paced.
  uint64_t LinkBytesPerSecond = 0;
  std::string Service; ///< Of this VM's target; targets see it as caller.
  calls::CallHeaders CallHeaders;
  calls::RetryLimits Retries;
  tenants::AllotmentSettings Allotments;
  balance::HedgeSettings Hedging;
  balance::FeatureToggles Compared;
  /// Bounds of roll-outs; without them versions of targets are not used.
  std::optional<rollout::Bounds> Versions;
  base::Duration TargetLease = std::chrono::seconds(3);
  size_t RecordingBytes = 16UL
                          << 20; ///< Buffer for decisions recorded for replay.
  size_t HeldBytes = 96UL << 20; ///< Held for clients, all together.
  size_t Descriptors = SIZE_MAX; ///< Bound beside the process's own limit.
  std::vector<base::Address> Seeds; ///< Gossip addresses of other nodes.
  /// Hosts where other nodes may run, each with this node's own gossip port.
  std::vector<base::Address> SeedHosts;
  /// All nodes start for the first time. No node serves yet, so they wait for
  /// gossip to connect them before they query the store.
  bool IsFirstStart = false;
  std::vector<std::string> MeshKeys;
  /// No mesh key is configured: the network between the nodes is trusted.
  bool TrustsNetwork = false;
  std::vector<Token> Tokens;
  base::LogSettings Log;
  uint32_t TailersPerDataCentre = 2;
  uint32_t DrainSeconds = 30;
};

/// Returns the JSON Schema of the settings (NodeSettings.schema.json).
std::string_view nodeSettingsSchemaText();

/// Validates \p document against the schema and the semantic rules and returns
/// the settings. Fails with a 1xxx code; the reason names the key's path, the
/// value found and the value expected. Adds the labels "data_centre" and
/// "region".
std::optional<NodeSettings>
decodeNodeSettings(const boost::json::value &document,
                   base::LastReason &reason);

/// Parses the text of a settings file, then does the same.
std::optional<NodeSettings> parseNodeSettings(std::string_view text,
                                              base::LastReason &reason);

/// Reads and validates a settings file. Fails with a 1xxx code; the reason
/// names the key's path, the value found and the value expected.
std::optional<NodeSettings> loadNodeSettings(const std::string &path,
                                             base::LastReason &reason);

} // namespace radishcross::admin
