// The precompiled headers need one translation unit to be built with.
