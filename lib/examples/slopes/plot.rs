//! Plots each slope as an SVG that shows the points of all runs and the line fitted to their
//! medians.

use super::{
    fit::{Fit, is_log, variable},
    table::Table,
};
use std::{fmt::Write, fs, io, path::Path};

// Size of the image and edges of the plot area, in SVG user units.
const WIDTH: f64 = 360.0;
const HEIGHT: f64 = 220.0;
const LEFT: f64 = 70.0;
const BOTTOM: f64 = 180.0;
const TOP: f64 = 30.0;
const RIGHT: f64 = 340.0;

/// Writes one file per slope, named after the slope, to `folder`.
pub fn write(table: &Table, folder: &Path) -> io::Result<()> {
    for slope in table.slopes() {
        fs::write(
            folder.join(format!("{slope}.svg")),
            render_svg(table, slope),
        )?;
    }
    Ok(())
}

fn render_svg(table: &Table, slope: &str) -> String {
    let points: Vec<_> = table.of(slope).collect();
    let fit = Fit::of(&points);
    let unit = &points[0].unit;
    let x_max = points
        .iter()
        .map(|p| variable(slope, p.x))
        .fold(0.0, f64::max);
    let y_max = points.iter().map(|p| p.value).fold(0.0, f64::max);
    let to_pixels = |x: f64, y: f64| {
        let px = LEFT + (RIGHT - LEFT) * x / x_max;
        (px, BOTTOM - (BOTTOM - TOP) * (y / y_max).max(0.0))
    };
    let mut svg = format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" viewBox=\"0 0 {WIDTH} {HEIGHT}\" \
         font-family=\"sans-serif\" font-size=\"11\">\n\
         <rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n\
         <path d=\"M{LEFT} {TOP}V{BOTTOM}H{RIGHT}\" fill=\"none\" stroke=\"black\"/>\n"
    );
    let axis = if is_log(slope) { "log2(size)" } else { "size" };
    for (x, y, anchor, label) in [
        (WIDTH / 2.0, 18.0, "middle", format!("{slope}, {unit}")),
        (LEFT - 6.0, TOP + 4.0, "end", format_short(y_max)),
        (LEFT - 6.0, BOTTOM, "end", "0".to_owned()),
        (RIGHT, BOTTOM + 16.0, "end", format_short(x_max)),
        (WIDTH / 2.0, BOTTOM + 32.0, "middle", axis.to_owned()),
    ] {
        let _ = writeln!(
            svg,
            "<text x=\"{x}\" y=\"{y}\" text-anchor=\"{anchor}\">{label}</text>"
        );
    }
    let ((x1, y1), (x2, y2)) = (to_pixels(0.0, fit.at(0.0)), to_pixels(x_max, fit.at(x_max)));
    let _ = writeln!(
        svg,
        "<line x1=\"{x1:.1}\" y1=\"{y1:.1}\" x2=\"{x2:.1}\" y2=\"{y2:.1}\" stroke=\"steelblue\"/>"
    );
    for point in points {
        let (x, y) = to_pixels(variable(slope, point.x), point.value);
        let _ = writeln!(
            svg,
            "<circle cx=\"{x:.1}\" cy=\"{y:.1}\" r=\"2.5\" fill=\"firebrick\"/>"
        );
    }
    svg.push_str("</svg>\n");
    svg
}

/// Formats an axis label, with the suffix `k` or `M` for large values.
fn format_short(value: f64) -> String {
    match value {
        v if v >= 1e6 => format!("{:.3}M", v / 1e6),
        v if v >= 1e4 => format!("{:.1}k", v / 1e3),
        v if v >= 100.0 => format!("{v:.0}"),
        v => format!("{v:.2}"),
    }
}
