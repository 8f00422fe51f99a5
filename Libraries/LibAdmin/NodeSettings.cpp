#include <LibAdmin/NodeSettings.h>

#include <LibSchema/JsonSchema.h>
#include <LibSchema/StrictJson.h>

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <boost/json/value.hpp>
#include <cmath>
#include <set>

namespace radishcross::embedded {
extern const std::string_view NodeSettingsText;
} // namespace radishcross::embedded

namespace radishcross::admin {

namespace {

namespace json = boost::json;
using base::ResultCode;

constexpr size_t MaximumSettingsBytes = 1UL << 20;
constexpr uint64_t BytesPerKilobit = 125;
constexpr uint64_t BytesPerMegabit = 125'000;

constexpr base::EnumName<base::LogLevel> LogLevelNames[] = {
    {base::LogLevel::Debug, "debug"},
    {base::LogLevel::Info, "info"},
    {base::LogLevel::Warning, "warning"},
    {base::LogLevel::Error, "error"},
};

constexpr base::EnumName<base::LogFormat> LogFormatNames[] = {
    {base::LogFormat::Json, "json"},
    {base::LogFormat::Plain, "plain"},
};

/// One listener of a node.
struct Listener {
  std::string_view Key;
  base::Address NodeSettings::*Member;
  bool IsAnnounced; ///< Advertised to other nodes, which connect to it.
  bool IsStream;    ///< TCP; only gossip is UDP.
  bool AllowsPortZero;
  bool IsOptional = false;
};

constexpr Listener Listeners[] = {
    {"calls", &NodeSettings::Calls, false, true, true},
    {"mesh", &NodeSettings::Mesh, true, true, true},
    {"gossip", &NodeSettings::Gossip, true, false, false},
    {"peer", &NodeSettings::Peer, true, true, false},
    {"targets", &NodeSettings::Targets, false, true, true},
    {"administration", &NodeSettings::Administration, true, true, true},
    {"metrics", &NodeSettings::Metrics, false, true, true, true},
};

std::string text(const json::value &value) {
  return std::string(value.as_string());
}

bool isUnspecified(const base::Address &address) {
  return boost::asio::ip::make_address(address.Host).is_unspecified();
}

/// Reads the address at \p path; port 0 is valid only with \p allowsPortZero.
std::optional<base::Address> readAddress(const json::value &value,
                                         const std::string &path,
                                         bool allowsPortZero,
                                         base::LastReason &reason) {
  auto address = base::parseAddress(text(value), reason);
  if (!address)
    return reason.fail(ResultCode::BadAddress, path + ": " + reason.text());
  if (address->Port == 0 && !allowsPortZero)
    return reason.fail(ResultCode::BadAddress,
                       path + ": found port 0, expected a port from 1 to "
                              "65535, since other nodes connect to it");
  return address;
}

bool readListeners(const json::object &listen, NodeSettings &settings,
                   base::LastReason &reason) {
  for (const auto &it : Listeners) {
    if (it.IsOptional && !listen.contains(it.Key))
      continue;
    std::string path = "listen." + std::string(it.Key);
    auto address =
        readAddress(listen.at(it.Key), path, it.AllowsPortZero, reason);
    if (!address)
      return false;
    if (it.IsAnnounced && isUnspecified(*address)) {
      reason.fail(ResultCode::BadAddress,
                  path + ": found \"" + address->text() +
                      "\", expected the IP number that other nodes connect to");
      return false;
    }
    settings.*it.Member = *address;
  }
  return true;
}

bool overlaps(const base::Address &a, const base::Address &b) {
  if (a.Port != b.Port || a.Port == 0)
    return false;
  return a.Host == b.Host || isUnspecified(a) || isUnspecified(b);
}

bool checkPortClash(const NodeSettings &settings, base::LastReason &reason) {
  for (const auto *a = std::begin(Listeners); a != std::end(Listeners); ++a) {
    for (const auto *b = std::begin(Listeners); b != a; ++b) {
      if (a->IsStream != b->IsStream ||
          !overlaps(settings.*a->Member, settings.*b->Member))
        continue;
      reason.fail(ResultCode::PortClash, "listen." + std::string(a->Key) +
                                             ": found " +
                                             (settings.*a->Member).text() +
                                             ", expected another port "
                                             "than that of listen." +
                                             std::string(b->Key));
      return false;
    }
  }
  return true;
}

bool readAddresses(const json::array &values, const std::string &path,
                   std::vector<base::Address> &out, base::LastReason &reason) {
  for (const auto &value : values) {
    auto address = readAddress(
        value, path + "[" + std::to_string(out.size()) + "]", false, reason);
    if (!address)
      return false;
    out.push_back(std::move(*address));
  }
  return true;
}

bool readSeedHosts(const json::array &values, NodeSettings &settings,
                   base::LastReason &reason) {
  if (!readAddresses(values, "seed_hosts", settings.SeedHosts, reason))
    return false;
  for (auto &it : settings.SeedHosts)
    it.Port = settings.Gossip.Port;
  std::erase(settings.SeedHosts, settings.Gossip);
  return true;
}

bool readTokens(const json::array &values, NodeSettings &settings,
                base::LastReason &reason) {
  std::set<std::string> hashes;
  for (const auto &value : values) {
    const auto &row = value.as_object();
    Token token{text(row.at("name")), text(row.at("sha256")),
                text(row.at("team")),
                *base::fromName(RoleNames, text(row.at("role")))};
    if (!hashes.insert(token.Sha256).second) {
      reason.fail(ResultCode::BadValue,
                  "tokens[" + std::to_string(settings.Tokens.size()) +
                      "].sha256: found the hash of an earlier token, expected "
                      "one token per holder");
      return false;
    }
    settings.Tokens.push_back(std::move(token));
  }
  return true;
}

void readLog(const json::object &log, base::LogSettings &out) {
  if (const auto *level = log.if_contains("level"))
    out.Level = *base::fromName(LogLevelNames, text(*level));
  if (const auto *format = log.if_contains("format"))
    out.Format = *base::fromName(LogFormatNames, text(*format));
}

void readLabels(const json::object &root, NodeSettings &settings) {
  if (const auto *labels = root.if_contains("labels"))
    for (const auto &[key, value] : labels->as_object())
      settings.Labels.emplace(key, text(value));
  settings.Labels["data_centre"] = settings.DataCentre;
  settings.Labels["region"] = settings.Region;
}

/// Maps a key of "call_headers" to a member.
struct HeaderRow {
  std::string_view Key;
  std::string calls::CallHeaders::*Member;
};

constexpr HeaderRow HeaderRows[] = {
    {"request_id", &calls::CallHeaders::RequestId},
    {"deadline", &calls::CallHeaders::Deadline},
    {"expected_target", &calls::CallHeaders::ExpectedTarget},
    {"caller_service", &calls::CallHeaders::CallerService},
    {"not_run", &calls::CallHeaders::NotRun},
    {"rate_limit", &calls::CallHeaders::RateLimit},
    {"leaving", &calls::CallHeaders::Leaving},
    {"key", &calls::CallHeaders::Key},
    {"tenant", &calls::CallHeaders::Tenant},
    {"load", &calls::CallHeaders::Load},
};

void readCallHeaders(const json::object &headers, calls::CallHeaders &out) {
  for (const auto &row : HeaderRows)
    if (const auto *name = headers.if_contains(row.Key))
      out.*row.Member = text(*name);
}

bool checkAgainstSchema(const json::value &document, base::LastReason &reason) {
  auto schema = schema::JsonSchema::create(embedded::NodeSettingsText, reason);
  return schema && schema->check(document, reason);
}

void readComparison(const json::object &from, balance::FeatureToggles &to) {
  if (const auto *flag = from.if_contains("ranks"))
    to.RanksEnabled = flag->as_bool();
  if (const auto *flag = from.if_contains("choice_by_headroom"))
    to.HeadroomEnabled = flag->as_bool();
}

void readRetryBudget(const json::object &from, calls::RetryLimits &to) {
  constexpr double Permille = 1000;
  to.RatioPermille =
      std::llround(from.at("ratio").to_number<double>() * Permille);
  to.Window =
      std::chrono::seconds(from.at("window_seconds").to_number<int64_t>());
  to.Slack = from.at("slack").to_number<int64_t>();
}

void readAllotments(const json::object &from, tenants::AllotmentSettings &to) {
  to.Window =
      std::chrono::seconds(from.at("window_seconds").to_number<int64_t>());
  to.Overshoot = from.at("overshoot").to_number<double>();
  to.Slack = from.at("slack").to_number<uint32_t>();
}

/// Returns how much of a process of \p machine mebibytes messages may hold. The
/// rest is for the node itself, its buffers and the kernel's.
size_t heldOf(size_t machine) {
  constexpr size_t MinOtherMegabytes = 64;
  constexpr size_t OtherDivisor = 4;
  constexpr size_t MinHeldMegabytes = 16;
  const auto other = std::max(MinOtherMegabytes, machine / OtherDivisor);
  return std::max(machine, other + MinHeldMegabytes) - other;
}

int64_t permilleOf(const json::value &share) {
  constexpr double Permille = 1000;
  return std::llround(share.to_number<double>() * Permille);
}

void readHedging(const json::object &from, balance::HedgeSettings &to) {
  to.SharePermille = permilleOf(from.at("share"));
  if (const auto *quantile = from.if_contains("quantile"))
    to.QuantilePermille = permilleOf(*quantile);
  if (const auto *services = from.if_contains("services"))
    for (const auto &it : services->as_object())
      to.ServiceSharePermille[std::string(it.key())] = permilleOf(it.value());
}

void readMemory(const json::object &from, NodeSettings &settings) {
  constexpr size_t BytesPerMegabyte = 1UL << 20;
  if (const auto *n = from.if_contains("machine_mb"))
    settings.HeldBytes = heldOf(n->to_number<size_t>()) * BytesPerMegabyte;
  if (const auto *n = from.if_contains("held_mb"))
    settings.HeldBytes = n->to_number<size_t>() * BytesPerMegabyte;
  if (const auto *n = from.if_contains("descriptors"))
    settings.Descriptors = n->to_number<size_t>();
}

rollout::Bounds readRollouts(const json::object &from) {
  constexpr double Permille = 1000;
  rollout::Bounds out;
  out.ExposurePermille = static_cast<uint32_t>(
      std::llround(from.at("exposure_share").to_number<double>() * Permille));
  out.ExposureSlack = from.at("exposure_slack").to_number<uint32_t>();
  out.Rollback =
      std::chrono::milliseconds(from.at("rollback_ms").to_number<uint32_t>());
  return out;
}

} // namespace

std::string_view nodeSettingsSchemaText() { return embedded::NodeSettingsText; }

std::optional<NodeSettings> decodeNodeSettings(const json::value &document,
                                               base::LastReason &reason) {
  if (!checkAgainstSchema(document, reason))
    return std::nullopt;
  const auto &root = document.as_object();
  NodeSettings settings;
  settings.Node = text(root.at("node"));
  settings.DataCentre = text(root.at("data_centre"));
  settings.Region = text(root.at("region"));
  readLabels(root, settings);
  if (!readListeners(root.at("listen").as_object(), settings, reason) ||
      !checkPortClash(settings, reason))
    return std::nullopt;
  const auto &platform = root.at("platform").as_object();
  if (!readAddresses(platform.at("addresses").as_array(), "platform.addresses",
                     settings.Platform, reason))
    return std::nullopt;
  if (const auto *seeds = root.if_contains("seeds"))
    if (!readAddresses(seeds->as_array(), "seeds", settings.Seeds, reason))
      return std::nullopt;
  if (const auto *hosts = root.if_contains("seed_hosts"))
    if (!readSeedHosts(hosts->as_array(), settings, reason))
      return std::nullopt;
  if (const auto *flag = platform.if_contains("operator_configuration"))
    settings.HasOperatorConfiguration = flag->as_bool();
  if (const auto *n = platform.if_contains("in_force_ms"))
    settings.InForceBound = std::chrono::milliseconds(n->to_number<uint32_t>());
  if (const auto *n = root.if_contains("least_link_kbit_per_s"))
    settings.LeastLinkBytesPerSecond =
        n->to_number<uint64_t>() * BytesPerKilobit;
  if (const auto *n = root.if_contains("link_mbit_per_s"))
    settings.LinkBytesPerSecond = static_cast<uint64_t>(
        n->to_number<double>() * static_cast<double>(BytesPerMegabit));
  if (const auto *service = root.if_contains("service"))
    settings.Service = text(*service);
  if (const auto *address = root.if_contains("target_address")) {
    settings.TargetAddress =
        readAddress(*address, "target_address", false, reason);
    if (!settings.TargetAddress)
      return std::nullopt;
  }
  if (const auto *headers = root.if_contains("call_headers"))
    readCallHeaders(headers->as_object(), settings.CallHeaders);
  if (const auto *budget = root.if_contains("retry_budget"))
    readRetryBudget(budget->as_object(), settings.Retries);
  if (const auto *allotments = root.if_contains("allotments"))
    readAllotments(allotments->as_object(), settings.Allotments);
  if (const auto *hedging = root.if_contains("hedging"))
    readHedging(hedging->as_object(), settings.Hedging);
  if (const auto *rollouts = root.if_contains("rollouts"))
    settings.Versions = readRollouts(rollouts->as_object());
  if (const auto *comparison = root.if_contains("comparison"))
    readComparison(comparison->as_object(), settings.Compared);
  if (const auto *n = root.if_contains("target_lease_ms"))
    settings.TargetLease = std::chrono::milliseconds(n->to_number<uint32_t>());
  if (const auto *n = root.if_contains("recording_bytes"))
    settings.RecordingBytes = n->to_number<size_t>();
  if (const auto *memory = root.if_contains("memory"))
    readMemory(memory->as_object(), settings);
  if (const auto *flag = root.if_contains("first_start"))
    settings.IsFirstStart = flag->as_bool();
  if (const auto *keys = root.if_contains("mesh_keys"))
    for (const auto &key : keys->as_array())
      settings.MeshKeys.push_back(text(key));
  settings.TrustsNetwork = settings.MeshKeys.empty();
  if (const auto *tokens = root.if_contains("tokens"))
    if (!readTokens(tokens->as_array(), settings, reason))
      return std::nullopt;
  if (const auto *log = root.if_contains("log"))
    readLog(log->as_object(), settings.Log);
  settings.Log.Node = settings.Node;
  settings.Log.DataCentre = settings.DataCentre;
  if (const auto *n = root.if_contains("tailers_per_data_centre"))
    settings.TailersPerDataCentre = n->to_number<uint32_t>();
  if (const auto *n = root.if_contains("drain_seconds"))
    settings.DrainSeconds = n->to_number<uint32_t>();
  return settings;
}

std::optional<NodeSettings> parseNodeSettings(std::string_view text,
                                              base::LastReason &reason) {
  schema::DocumentLimits limits;
  limits.MaximumBytes = MaximumSettingsBytes;
  auto document = schema::parseStrictJson(text, limits, reason);
  if (!document)
    return std::nullopt;
  return decodeNodeSettings(*document, reason);
}

std::optional<NodeSettings> loadNodeSettings(const std::string &path,
                                             base::LastReason &reason) {
  schema::DocumentLimits limits;
  limits.MaximumBytes = MaximumSettingsBytes;
  auto document = schema::readStrictJson(path, limits, reason);
  if (!document)
    return std::nullopt;
  return decodeNodeSettings(*document, reason);
}

} // namespace radishcross::admin
