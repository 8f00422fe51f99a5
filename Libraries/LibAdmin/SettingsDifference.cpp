#include <LibAdmin/SettingsDifference.h>

#include <string_view>

namespace radishcross::admin {

namespace {

using Settings = NodeSettings;

/// How one key is compared and, if it can change at run time, assigned.
struct SettingRow {
  std::string_view Name;
  bool (*IsSame)(const Settings &, const Settings &);
  void (*Assign)(Settings &, const Settings &); ///< Null: takes a restart.
};

template <auto Member> bool isSame(const Settings &a, const Settings &b) {
  return a.*Member == b.*Member;
}

template <auto Member> void assignMember(Settings &to, const Settings &from) {
  to.*Member = from.*Member;
}

template <auto Member> constexpr SettingRow live(std::string_view name) {
  return {name, &isSame<Member>, &assignMember<Member>};
}

template <auto Member> constexpr SettingRow restartOnly(std::string_view name) {
  return {name, &isSame<Member>, nullptr};
}

constexpr SettingRow Rows[] = {
    live<&Settings::Log>("log"),
    live<&Settings::DrainSeconds>("drain_seconds"),
    live<&Settings::CallHeaders>("call_headers"),
    live<&Settings::TargetLease>("target_lease_ms"),
    live<&Settings::Service>("service"),
    live<&Settings::TargetAddress>("target_address"),
    restartOnly<&Settings::Allotments>("allotments"),
    restartOnly<&Settings::Hedging>("hedging"),
    restartOnly<&Settings::Compared>("comparison"),
    restartOnly<&Settings::Versions>("rollouts"),
    live<&Settings::SeedHosts>("seed_hosts"),
    restartOnly<&Settings::Node>("node"),
    restartOnly<&Settings::DataCentre>("data_centre"),
    restartOnly<&Settings::Region>("region"),
    restartOnly<&Settings::Labels>("labels"),
    restartOnly<&Settings::Calls>("listen.calls"),
    restartOnly<&Settings::Mesh>("listen.mesh"),
    restartOnly<&Settings::Gossip>("listen.gossip"),
    restartOnly<&Settings::Peer>("listen.peer"),
    restartOnly<&Settings::Targets>("listen.targets"),
    restartOnly<&Settings::Administration>("listen.administration"),
    restartOnly<&Settings::Metrics>("listen.metrics"),
    restartOnly<&Settings::Platform>("platform.addresses"),
    restartOnly<&Settings::HasOperatorConfiguration>(
        "platform.operator_configuration"),
    restartOnly<&Settings::LinkBytesPerSecond>("link_mbit_per_s"),
    restartOnly<&Settings::RecordingBytes>("recording_bytes"),
    restartOnly<&Settings::HeldBytes>("memory.held_mb"),
    restartOnly<&Settings::Descriptors>("memory.descriptors"),
    restartOnly<&Settings::Seeds>("seeds"),
    restartOnly<&Settings::MeshKeys>("mesh_keys"),
    restartOnly<&Settings::Tokens>("tokens"),
    restartOnly<&Settings::TailersPerDataCentre>("tailers_per_data_centre"),
};

} // namespace

SettingsDifference compareSettings(const NodeSettings &before,
                                   const NodeSettings &after) {
  SettingsDifference out;
  for (const auto &row : Rows) {
    if (row.IsSame(before, after))
      continue;
    (row.Assign ? out.Live : out.Restart).emplace_back(row.Name);
  }
  return out;
}

NodeSettings withLiveSettings(NodeSettings before, const NodeSettings &after) {
  for (const auto &row : Rows)
    if (row.Assign)
      row.Assign(before, after);
  return before;
}

} // namespace radishcross::admin
