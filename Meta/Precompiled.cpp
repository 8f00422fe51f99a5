// Translation unit with which the precompiled headers are built.
