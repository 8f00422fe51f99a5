#pragma once

#include <LibNode/FakeStore.h>
#include <LibNode/FreeListeners.h>
#include <LibNode/NodeProcess.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace radishcross::test {

using namespace std::chrono_literals;

/// Three nodes that share one store, whose behaviour can be set for each node.
struct StoreMesh {
  boost::asio::io_context Context{1};
  StoreContent Content;
  std::map<std::string, StoreBehaviour> Behaviours;
  std::vector<admin::NodeSettings> Settings;
  std::map<std::string, std::unique_ptr<node::NodeProcess>> Nodes;
  /// Content of a version; empty without.
  std::function<config::VersionContent(uint64_t)> ContentOf;

  StoreMesh() {
    for (const char *id : {"a-1", "a-2", "b-1"})
      addSettings(id);
  }

  void addSettings(const std::string &id) {
    admin::NodeSettings it;
    it.Node = id;
    it.DataCentre = id.substr(0, 1);
    it.Region = "south";
    setFreeListeners(it);
    it.Platform = {{"127.0.0.1", 1}};
    it.HasOperatorConfiguration = true;
    it.TrustsNetwork = true;
    Settings.push_back(std::move(it));
  }

  /// Decodes the operator's records as the platform does, instead of as plain
  /// numbers.
  std::optional<node::PlatformPorts> Formats;

  node::PlatformPorts makePorts(const std::string &id) {
    auto out = Formats.value_or(node::PlatformPorts{});
    out.OpenStore = [this, id](boost::asio::io_context &context, auto,
                               base::Metrics &, http::RepeatPolicy) {
      return std::make_unique<FakeStore>(context, Content, Behaviours[id]);
    };
    if (Formats)
      return out;
    out.ConfigurationKey = "config";
    out.DecodeOperatorRecord = [this](std::string_view text,
                                      base::LastReason &reason)
        -> std::optional<config::ExternalVersion> {
      if (text.empty() || text[0] < '0' || text[0] > '9')
        return reason.fail(base::ResultCode::BadValue, "no number");
      config::ExternalVersion version;
      version.Version = std::stoull(std::string(text));
      if (ContentOf)
        version.Content = ContentOf(version.Version);
      return version;
    };
    return out;
  }

  void start(const std::string &id) {
    base::LastReason reason;
    const auto &settings =
        *std::find_if(Settings.begin(), Settings.end(),
                      [&](const auto &it) { return it.Node == id; });
    Nodes.erase(id);
    auto node =
        node::NodeProcess::create(Context, settings, makePorts(id), reason);
    REQUIRE_MESSAGE(node, reason.text());
    Nodes[id] = std::move(*node);
  }

  void startAll() {
    for (const auto &it : Settings)
      start(it.Node);
    REQUIRE(runUntil([&] { return allReady(); }));
    // Each has discovered the others.
    REQUIRE(runUntil([&] {
      return std::all_of(Nodes.begin(), Nodes.end(), [&](const auto &it) {
        return it.second->members().size() == Settings.size();
      });
    }));
  }

  void publish(const std::string &text) {
    Content.write(log::Topic::Operator, "config", text);
  }

  template <typename Condition>
  bool runUntil(Condition condition, base::Duration timeout = 10s) {
    auto deadline = std::chrono::steady_clock::now() + timeout;
    while (!condition() && std::chrono::steady_clock::now() < deadline)
      Context.run_one_for(20ms);
    return condition();
  }

  bool allReady() {
    return std::all_of(Nodes.begin(), Nodes.end(),
                       [](const auto &it) { return it.second->ready(); });
  }

  uint64_t externalVersionAt(const std::string &id) {
    for (const auto &it : Nodes.at(id)->holdingSince())
      if (it.Configuration == config::ExternalConfigurationName)
        return it.Version;
    return 0;
  }
};

} // namespace radishcross::test
