/* Placeholder until the library has its first file. */
#include "entry/fns.h"
