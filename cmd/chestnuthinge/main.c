/* The program's start. */
#include "base/fns.h"

/* Runs the program; the exit code is that of the command. */
int main(int argc, char **argv)
{
	log_line(LOG_INFO, "start", "args=%d program=%s", argc, argv[0]);
	return 0;
}
