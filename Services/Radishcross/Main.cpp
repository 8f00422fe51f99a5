#include <cstdio>

int main() {
  std::puts("radishcross " RADISHCROSS_VERSION);
  return 0;
}
