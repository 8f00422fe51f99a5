#pragma once

#include <LibAdmin/Api.h>
#include <LibAdmin/NodeControl.h>
#include <LibHttp/Message.h>

#include <string>

namespace radishcross::admin {

/// A fake node that applies changes directly to a fold.
class MockNodeControl final : public NodeControl {
public:
  MockNodeControl();

  const fleet::NodeIdentity &identity() const override { return Self; }
  const log::Fold &fold() const override { return State; }
  const log::HeldVersions &held() const override { return Held; }
  std::vector<HoldingSince> holdingSince() const override;
  std::vector<fleet::Member> members() const override { return Members; }
  base::Metrics &metrics() override { return Counters; }
  bool ready() const override { return Ready; }
  std::optional<base::Duration> externalAge() const override {
    return ExternalAge;
  }
  void change(log::Record record, base::Duration timeout,
              std::function<void(ChangeOutcome)> done) override;
  boost::json::value usage() const override { return Usage; }
  boost::json::value allotments() const override { return Allotments; }
  boost::json::value route(const RouteQuestion &question) const override {
    Asked = question;
    return Route;
  }
  boost::json::value quarantine() const override;
  bool liftQuarantine(uint64_t fingerprint) override;
  std::string recording(uint32_t seconds) const override;
  void drainSelf() override { Draining = true; }

  /// Adds a member with the given identity and state.
  fleet::Member &addMember(const std::string &id, const std::string &dataCentre,
                           fleet::MemberState state);

  fleet::NodeIdentity Self;
  log::Fold State;
  log::HeldVersions Held;
  std::vector<fleet::Member> Members;
  base::Metrics Counters;
  boost::json::value Usage = boost::json::object();
  boost::json::value Allotments = boost::json::array();
  boost::json::value Route = boost::json::object();
  mutable RouteQuestion Asked;
  bool Ready = true;
  std::optional<base::Duration> ExternalAge;
  bool Draining = false;
  bool LosesResponses = false; ///< Appends take effect, responses are lost.
  bool IsPlatformUnreachable = false; ///< The platform cannot be reached.
  std::function<void()> DuringAppend;
  uint64_t Quarantined = 2748;
  size_t Appends = 0;
};

/// The tokens of TestApi: "eye" (reader), "ops" (publisher) and "root"
/// (administrator) of the team "permits", and "surf" (publisher) of the team
/// "shops". The token's text is "NAME-secret".
std::vector<Token> mockTokens();

/// Sends one request to \p api on its own event loop and returns the response.
http::Response call(Api &api, boost::beast::http::verb method,
                    const std::string &target, const std::string &tokenName,
                    const std::string &body = "");

} // namespace radishcross::admin
