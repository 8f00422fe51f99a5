#include <LibAdmin/CheckFile.h>

#include <LibAdmin/NodeSettings.h>
#include <LibConfig/VersionContentCodec.h>
#include <LibSchema/StrictJson.h>

#include <algorithm>

namespace radishcross::admin {

namespace {

constexpr std::string_view SettingsKeys[] = {
    "node", "data_centre", "region", "listen", "platform", "mesh_keys"};

bool looksLikeSettings(const boost::json::value &document) {
  if (!document.is_object())
    return false;
  const auto &root = document.as_object();
  return std::any_of(std::begin(SettingsKeys), std::end(SettingsKeys),
                     [&](auto key) { return root.contains(key); });
}

} // namespace

std::optional<DocumentKind> checkFile(const std::string &path,
                                      base::LastReason &reason) {
  auto document = schema::readStrictJson(path, {}, reason);
  if (!document)
    return std::nullopt;
  if (looksLikeSettings(*document)) {
    if (!decodeNodeSettings(*document, reason))
      return std::nullopt;
    return DocumentKind::Settings;
  }
  if (!config::decodeVersionContent(*document, reason))
    return std::nullopt;
  return DocumentKind::Version;
}

} // namespace radishcross::admin
