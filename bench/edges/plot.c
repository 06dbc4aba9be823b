/* A plot of goodput against load, as SVG: a line for each way of placing. */
#include <stdio.h>
#include "fns.h"

enum {
	LEFT = 60, /* pixels */
	TOP_EDGE = 20,
	WIDE = 520,
	HIGH = 300,
};

static const char *const colours[WAYS] = { "#1b6", "#27c", "#c72", "#999" };

static double x_of(double load, double most)
{
	return LEFT + WIDE * load / most;
}

static double y_of(double percent)
{
	return TOP_EDGE + HIGH * (1 - percent / 100);
}

static void axes(FILE *f, double most)
{
	for (int p = 0; p <= 100; p += 20)
		fprintf(f,
			"<line x1='%d' x2='%d' y1='%.0f' y2='%.0f' "
			"stroke='#ddd'/><text x='%d' y='%.0f'>%d%%</text>\n",
			LEFT, LEFT + WIDE, y_of(p), y_of(p), 15, y_of(p) + 4,
			p);
	for (int half = 1; half / 2.0 <= most; half++)
		fprintf(f, "<text x='%.0f' y='%d'>%.1f</text>\n",
			x_of(half / 2.0, most) - 8, TOP_EDGE + HIGH + 18,
			half / 2.0);
	fprintf(f,
		"<text x='%d' y='%d'>load (1 = what the engines carry)"
		"</text>\n",
		LEFT + WIDE / 3, TOP_EDGE + HIGH + 36);
}

/* Writes the plot; goodput is in percent of the requests. */
void plot_write(const char *path, const double *loads, size_t n,
		double goodput[WAYS][16])
{
	FILE *f = fopen(path, "w");
	double most = loads[n - 1];

	if (!f) {
		perror(path);
		return;
	}
	fprintf(f,
		"<svg xmlns='http://www.w3.org/2000/svg' width='%d' "
		"height='%d' font-family='sans-serif' font-size='12'>\n",
		LEFT + WIDE + 120, TOP_EDGE + HIGH + 45);
	axes(f, most);
	for (int w = 0; w < WAYS; w++) {
		fprintf(f,
			"<polyline fill='none' stroke-width='2' stroke='%s' "
			"points='",
			colours[w]);
		for (size_t i = 0; i < n; i++)
			fprintf(f, "%.0f,%.0f ", x_of(loads[i], most),
				y_of(goodput[w][i]));
		fprintf(f, "'/>\n<text x='%d' y='%d' fill='%s'>%s</text>\n",
			LEFT + WIDE + 10, TOP_EDGE + 15 + 18 * w, colours[w],
			way_name((way_t)w));
	}
	fprintf(f, "</svg>\n");
	fclose(f);
}
