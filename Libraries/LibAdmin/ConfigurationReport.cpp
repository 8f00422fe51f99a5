#include <LibAdmin/ConfigurationReport.h>

namespace radishcross::admin {

namespace json = boost::json;

json::object configurationReport(const log::Fold &fold,
                                 const log::Configuration &about) {
  json::array versions;
  for (const auto &it : about.Versions)
    versions.push_back(json::object{{"version", it.Number}, {"offset", it.At}});
  json::array attachments;
  for (const auto &[name, it] : fold.attachments())
    if (it.Configuration == about.Name)
      attachments.push_back(json::object{{"name", it.Name},
                                         {"version", it.Version},
                                         {"selector", it.Chooses.text()},
                                         {"offset", it.At}});
  uint64_t newest = about.Versions.empty() ? 0 : about.Versions.back().Number;
  return {
      {"configuration", about.Name},
      {"team", about.Team},
      {"newest", newest},
      {"changed_at", about.ChangedAt},
      {"versions", std::move(versions)},
      {"attachments", std::move(attachments)},
  };
}

json::array configurationReports(const log::Fold &fold) {
  json::array out;
  for (const auto &[name, it] : fold.configurations())
    out.push_back(configurationReport(fold, it));
  return out;
}

const log::Version *findVersion(const log::Configuration &configuration,
                                uint64_t number) {
  for (const auto &it : configuration.Versions)
    if (it.Number == number)
      return &it;
  return nullptr;
}

json::object versionReport(const log::Configuration &configuration,
                           const log::Version &version) {
  return {
      {"configuration", configuration.Name},
      {"version", version.Number},
      {"offset", version.At},
      {"content", version.Document},
  };
}

} // namespace radishcross::admin
