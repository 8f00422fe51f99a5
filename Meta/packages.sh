# The Debian packages that the build needs; sourced by other scripts.
tools=(build-essential cmake ninja-build ccache clang-format clang-tidy python3)
libraries=(
  libboost1.81-dev libboost-json1.81-dev libcapnp-dev libabsl-dev
  doctest-dev libvalijson-dev librapidcheck-dev
  libxxhash-dev libssl-dev zlib1g-dev
)

# Installs those of the named packages that are missing.
install_packages() {
  local missing=() package sudo=()
  for package in "$@"; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' ||
      missing+=("$package")
  done
  [ ${#missing[@]} -eq 0 ] && return
  [ "$(id -u)" -eq 0 ] || sudo=(sudo)
  "${sudo[@]}" apt-get update -q
  "${sudo[@]}" env DEBIAN_FRONTEND=noninteractive \
    apt-get install -y -q --no-install-recommends "${missing[@]}"
}
