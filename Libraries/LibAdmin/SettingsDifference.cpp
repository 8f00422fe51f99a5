#include <LibAdmin/SettingsDifference.h>

#include <string_view>

namespace radishcross::admin {

namespace {

using Settings = NodeSettings;

/// One key: how it is compared, and taken over where it can change live.
struct SettingRow {
  std::string_view Name;
  bool (*IsSame)(const Settings &, const Settings &);
  void (*Take)(Settings &, const Settings &); ///< Null: needs a restart.
};

template <auto Member> bool isSame(const Settings &a, const Settings &b) {
  return a.*Member == b.*Member;
}

template <auto Member> void take(Settings &to, const Settings &from) {
  to.*Member = from.*Member;
}

template <auto Member> constexpr SettingRow live(std::string_view name) {
  return {name, &isSame<Member>, &take<Member>};
}

template <auto Member> constexpr SettingRow atStart(std::string_view name) {
  return {name, &isSame<Member>, nullptr};
}

constexpr SettingRow Rows[] = {
    live<&Settings::Log>("log"),
    live<&Settings::DrainSeconds>("drain_seconds"),
    live<&Settings::CallHeaders>("call_headers"),
    live<&Settings::TargetLease>("target_lease_ms"),
    live<&Settings::Service>("service"),
    live<&Settings::TargetAddress>("target_address"),
    atStart<&Settings::Compared>("comparison"),
    live<&Settings::SeedHosts>("seed_hosts"),
    atStart<&Settings::Node>("node"),
    atStart<&Settings::DataCentre>("data_centre"),
    atStart<&Settings::Region>("region"),
    atStart<&Settings::Labels>("labels"),
    atStart<&Settings::Calls>("listen.calls"),
    atStart<&Settings::Mesh>("listen.mesh"),
    atStart<&Settings::Gossip>("listen.gossip"),
    atStart<&Settings::Peer>("listen.peer"),
    atStart<&Settings::Targets>("listen.targets"),
    atStart<&Settings::Administration>("listen.administration"),
    atStart<&Settings::Metrics>("listen.metrics"),
    atStart<&Settings::Platform>("platform.addresses"),
    atStart<&Settings::HasOperatorConfiguration>(
        "platform.operator_configuration"),
    atStart<&Settings::RecordingBytes>("recording_bytes"),
    atStart<&Settings::Seeds>("seeds"),
    atStart<&Settings::MeshKeys>("mesh_keys"),
    atStart<&Settings::Tokens>("tokens"),
    atStart<&Settings::TailersPerDataCentre>("tailers_per_data_centre"),
};

} // namespace

SettingsDifference compareSettings(const NodeSettings &before,
                                   const NodeSettings &after) {
  SettingsDifference out;
  for (const auto &row : Rows) {
    if (row.IsSame(before, after))
      continue;
    (row.Take ? out.Live : out.Restart).emplace_back(row.Name);
  }
  return out;
}

NodeSettings withLiveSettings(NodeSettings before, const NodeSettings &after) {
  for (const auto &row : Rows)
    if (row.Take)
      row.Take(before, after);
  return before;
}

} // namespace radishcross::admin
