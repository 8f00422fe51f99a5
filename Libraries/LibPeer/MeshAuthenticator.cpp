#include <LibBase/Hash.h>
#include <LibPeer/MeshAuthenticator.h>

#include <utility>

namespace radishcross::peer {

namespace {

std::string tagOf(const std::string &key, std::string_view body) {
  return base::hmacSha256(key, body).substr(0, MeshAuthenticator::TagBytes);
}

} // namespace

MeshAuthenticator::MeshAuthenticator(std::vector<std::string> keys,
                                     bool trustsNetwork)
    : Keys(std::move(keys)), TrustsNetwork(trustsNetwork) {}

std::string MeshAuthenticator::seal(std::string_view body) const {
  std::string tag =
      Keys.empty() ? std::string(TagBytes, '\0') : tagOf(Keys.front(), body);
  return tag.append(body);
}

std::optional<std::string_view>
MeshAuthenticator::open(std::string_view sealed,
                        base::LastReason &reason) const {
  if (sealed.size() < TagBytes)
    return reason.fail(base::ResultCode::PeerUnauthenticated,
                       "message has no authentication tag");
  auto tag = sealed.substr(0, TagBytes);
  auto body = sealed.substr(TagBytes);
  if (TrustsNetwork && Keys.empty())
    return body;
  for (const auto &key : Keys)
    if (base::equalInConstantTime(tag, tagOf(key, body)))
      return body;
  return reason.fail(base::ResultCode::PeerUnauthenticated,
                     "authentication tag matches no mesh key");
}

} // namespace radishcross::peer
