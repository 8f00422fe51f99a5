#include <LibAdmin/MockNodeControl.h>

#include <LibBase/Hash.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

namespace radishcross::admin {

namespace {

constexpr int64_t HeldSince = 1700000000000;

fleet::NodeIdentity identityOf(const std::string &id,
                               const std::string &dataCentre) {
  fleet::NodeIdentity out;
  out.Id = id;
  out.DataCentre = dataCentre;
  out.Region = "south";
  out.NodeLabels = {{"data_centre", dataCentre}, {"region", "south"}};
  // Nothing listens on the discard port, so a connection fails at once.
  out.Administration = {"127.0.0.1", 9};
  return out;
}

} // namespace

MockNodeControl::MockNodeControl()
    : Self(identityOf("north-1", "north")), Held(Self.Id, Self.NodeLabels) {}

std::vector<HoldingSince> MockNodeControl::holdingSince() const {
  std::vector<HoldingSince> out;
  for (const auto &it : Held.snapshot()->versions())
    out.push_back({it.Configuration, it.Version, HeldSince});
  return out;
}

void MockNodeControl::change(log::Record record, base::Duration,
                             std::function<void(ChangeOutcome)> done) {
  ++Appends;
  if (DuringAppend)
    DuringAppend();
  ChangeOutcome out;
  out.RecordId = record.Id;
  if (IsPlatformUnreachable) {
    out.Result = ChangeOutcome::Kind::Rejected;
    out.Outcome.Code = base::ResultCode::NodeUnreachable;
    done(out);
    return;
  }
  out.Outcome = State.apply({State.offset() + 1, log::encodeRecord(record)});
  Held.update(State);
  bool isAccepted = out.Outcome.Code == base::ResultCode::Ok;
  out.Result = isAccepted ? ChangeOutcome::Kind::Accepted
                          : ChangeOutcome::Kind::Rejected;
  if (LosesResponses) {
    out.Result = ChangeOutcome::Kind::Unknown;
    out.Outcome = {};
  }
  done(out);
}

boost::json::value MockNodeControl::quarantine() const {
  return boost::json::array{boost::json::object{{"fingerprint", "2748"}}};
}

bool MockNodeControl::liftQuarantine(uint64_t fingerprint) {
  if (fingerprint != Quarantined)
    return false;
  Quarantined = 0;
  return true;
}

std::string MockNodeControl::recording(uint32_t seconds) const {
  return "trace of " + std::to_string(seconds);
}

fleet::Member &MockNodeControl::addMember(const std::string &id,
                                          const std::string &dataCentre,
                                          fleet::MemberState state) {
  fleet::Member member;
  member.Identity = identityOf(id, dataCentre);
  member.State = state;
  Members.push_back(std::move(member));
  return Members.back();
}

std::vector<Token> mockTokens() {
  auto token = [](const std::string &name, const char *team, Role role) {
    return Token{name, base::sha256Hex(name + "-secret"), team, role};
  };
  return {token("eye", "permits", Role::Reader),
          token("ops", "permits", Role::Publisher),
          token("surf", "shops", Role::Publisher),
          token("root", "permits", Role::Administrator)};
}

http::Response call(Api &api, boost::beast::http::verb method,
                    const std::string &target, const std::string &tokenName,
                    const std::string &body) {
  http::IncomingRequest request;
  request.Message = http::Request(method, target, 11);
  request.Peer = {"127.0.0.7", 4000};
  if (!tokenName.empty())
    request.Message.set(boost::beast::http::field::authorization,
                        "Bearer " + tokenName + "-secret");
  request.Message.body() = body;
  boost::asio::io_context context;
  http::Response answer;
  boost::asio::co_spawn(
      context, api.handle(std::move(request)),
      [&](const std::exception_ptr &error, http::Response got) {
        if (error)
          std::rethrow_exception(error);
        answer = std::move(got);
      });
  context.run();
  return answer;
}

} // namespace radishcross::admin
